#ifndef FLEET_RETRY_ADVICE_H_
#define FLEET_RETRY_ADVICE_H_

#include <chrono>

#include "absl/strings/string_view.h"

namespace figflow {

// When a caller should come back that was refused while the store, or the owner
// of its pool, cannot be reached for `outage` so far. `patience` is how long
// the caller goes on trying.
//
// Load pattern: an outage lasts from half a second to ten seconds, and callers
// try a few times only. At a fixed pause they would spend all tries within a
// long outage, so the pause grows with the age of the outage, the best guess of
// what is left of it, as far as the caller's patience allows. `job` spreads
// callers that were refused together. Whole seconds, as the header has no finer
// unit.
std::chrono::seconds ComputeRetryDelay(std::chrono::milliseconds outage,
                                       std::chrono::milliseconds patience,
                                       absl::string_view job);

}  // namespace figflow

#endif  // FLEET_RETRY_ADVICE_H_
