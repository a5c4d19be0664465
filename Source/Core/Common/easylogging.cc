// Compiles the library's single source file once into this program.
#include <easylogging++.cc>  // NOLINT(bugprone-suspicious-include)

INITIALIZE_EASYLOGGINGPP
