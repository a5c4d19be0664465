// The precompiled header needs a target of its own.
