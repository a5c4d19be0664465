#ifndef CTL_RUN_H_
#define CTL_RUN_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "Ctl/api_client.h"
#include "Ctl/exit_code.h"
#include "Ctl/verbs.h"

namespace figflow::ctl {

// The exit code for an answer, or for the lack of one.
ExitCode ExitCodeOf(const Verb& verb, const Result<ApiAnswer>& answer);

// Runs figflowctl with `args` (without the program name). Results go to `out`
// and messages to `err`; `terminal` tells whether `out` is a terminal.
ExitCode Run(const std::vector<std::string>& args,
             bool terminal,
             std::ostream& out,
             std::ostream& err);

}  // namespace figflow::ctl

#endif  // CTL_RUN_H_
