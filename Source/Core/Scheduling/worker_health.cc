#include "Scheduling/worker_health.h"

#include <algorithm>

namespace figflow {
namespace {

// A single failure may be caused by the task itself; two in a row without a
// success rarely are.
constexpr int kFailuresToExclude = 2;
// Time during which a failure counts as recent; longer than a few tasks take,
// so that running ones can succeed.
constexpr std::chrono::milliseconds kRecentFailureTime{3'000};
constexpr std::chrono::milliseconds kMinExclusion{2'000};
constexpr std::chrono::milliseconds kMaxExclusion{16'000};
// A refused order costs only an HTTP request, so the worker is tried again
// soon.
constexpr std::chrono::milliseconds kRefusalExclusion{500};

}  // namespace

void WorkerHealth::OnRunDone(MonoTime now) {
  failures_ = 0;
  // A success of a run that began before the exclusion does not lift it.
  if (!Excluded(now)) {
    exclusions_ = 0;
    recently_failed_until_ = MonoTime::min();
  }
}

void WorkerHealth::OnRunFailed(MonoTime now) {
  ++failures_;
  recently_failed_until_ = now + kRecentFailureTime;
  if (failures_ < kFailuresToExclude || Excluded(now)) {
    return;
  }
  const int doublings = std::min(exclusions_, 3);
  excluded_until_ =
      now + std::min(kMinExclusion * (1 << doublings), kMaxExclusion);
  ++exclusions_;
}

void WorkerHealth::OnRefused(MonoTime now) {
  excluded_until_ = std::max(excluded_until_, now + kRefusalExclusion);
}

}  // namespace figflow
