#ifndef FLEET_RETRY_ADVICE_H_
#define FLEET_RETRY_ADVICE_H_

#include <chrono>

#include "absl/strings/string_view.h"

namespace figflow {

// Returns the retry delay of a caller that was refused because the store, or
// the owner of its pool, has been unreachable for `outage` so far. `patience`
// is how long the caller continues to retry.
//
// An outage lasts from half a second to ten seconds, and callers retry only a
// few times. With a fixed delay they would use up all attempts within a long
// outage, so the delay grows with the age of the outage, the best estimate of
// its remaining time, as far as `patience` allows. `job` spreads callers that
// were refused together. The unit is whole seconds because the header has no
// finer one.
std::chrono::seconds ComputeRetryDelay(std::chrono::milliseconds outage,
                                       std::chrono::milliseconds patience,
                                       absl::string_view job);

}  // namespace figflow

#endif  // FLEET_RETRY_ADVICE_H_
