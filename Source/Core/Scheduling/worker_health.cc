#include "Scheduling/worker_health.h"

#include <algorithm>

namespace figflow {
namespace {

// A single failure may be caused by the task itself; two in a row without a
// success rarely are.
constexpr int kFailuresToExclude = 2;
// Time during which a failure counts as recent; longer than a few tasks take,
// so that running ones can succeed.
constexpr std::chrono::milliseconds kDoubtTime{3'000};
constexpr std::chrono::milliseconds kFirstExclusion{2'000};
constexpr std::chrono::milliseconds kLongestExclusion{16'000};
// A refused order costs only an HTTP request, so the worker is tried again
// soon.
constexpr std::chrono::milliseconds kRefusalPause{500};

}  // namespace

void WorkerHealth::OnDone(MonoTime now) {
  failures_ = 0;
  // A success of a run that began before the exclusion does not lift it.
  if (!Excluded(now)) {
    exclusions_ = 0;
    doubtful_until_ = MonoTime::min();
  }
}

void WorkerHealth::OnFailed(MonoTime now) {
  ++failures_;
  doubtful_until_ = now + kDoubtTime;
  if (failures_ < kFailuresToExclude || Excluded(now)) {
    return;
  }
  const int doublings = std::min(exclusions_, 3);
  excluded_until_ =
      now + std::min(kFirstExclusion * (1 << doublings), kLongestExclusion);
  ++exclusions_;
}

void WorkerHealth::OnRefused(MonoTime now) {
  excluded_until_ = std::max(excluded_until_, now + kRefusalPause);
}

}  // namespace figflow
