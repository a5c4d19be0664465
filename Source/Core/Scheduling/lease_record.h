#ifndef SCHEDULING_LEASE_RECORD_H_
#define SCHEDULING_LEASE_RECORD_H_

#include <chrono>
#include <map>
#include <string>

#include "Common/error.h"
#include "Scheduling/worker.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Workers that an owner did not reach when it handed its pool over, with the
// maximum time until all their leases have run out.
//
// Without it each owner in a row of hand-overs would wait anew for the longest
// lease that an earlier one could have granted.
using RemainingLeases = std::map<WorkerKey, std::chrono::milliseconds>;

std::string FormatRemainingLeases(const RemainingLeases& leases);
// Error kInvalid.
Result<RemainingLeases> ParseRemainingLeases(absl::string_view bytes);

}  // namespace figflow

#endif  // SCHEDULING_LEASE_RECORD_H_
