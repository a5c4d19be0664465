#ifndef CTL_EXIT_CODE_H_
#define CTL_EXIT_CODE_H_

namespace figflow::ctl {

// Documented in docs/figflowctl.md.
enum class ExitCode {
  kDone = 0,
  // The server refused the request, found faults or reported a conflict.
  kRefused = 1,
  kUsage = 2,
  // No usable answer, and nothing was changed.
  kNotReached = 3,
  // A change may or may not have taken effect.
  kUnknownOutcome = 4,
};

}  // namespace figflow::ctl

#endif  // CTL_EXIT_CODE_H_
