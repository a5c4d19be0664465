#include "Scheduling/worker_health.h"

#include <algorithm>

namespace figflow {
namespace {

// A single failure may be caused by the task itself; two in a row without a
// success rarely are.
constexpr size_t kFailuresToExclude = 2;
constexpr size_t kMaxFailures = 16;
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
  failed_jobs_.clear();
  // A success of a run that began before the exclusion does not lift it.
  if (!Excluded(now)) {
    exclusions_ = 0;
    recently_failed_until_ = MonoTime::min();
  }
}

void WorkerHealth::OnRunFailed(const std::string& job, MonoTime now) {
  if (failed_jobs_.size() == kMaxFailures) {
    failed_jobs_.erase(failed_jobs_.begin());
  }
  failed_jobs_.push_back(job);
  recently_failed_until_ = now + kRecentFailureTime;
  if (failed_jobs_.size() < kFailuresToExclude || Excluded(now)) {
    return;
  }
  const int doublings = std::min(exclusions_, 3);
  failing_until_ =
      now + std::min(kMinExclusion * (1 << doublings), kMaxExclusion);
  last_resort_from_ = now + kMinExclusion;
  ++exclusions_;
}

void WorkerHealth::DiscountFailures(const std::string& job) {
  const auto first = std::remove(failed_jobs_.begin(), failed_jobs_.end(), job);
  if (first == failed_jobs_.end()) {
    return;
  }
  failed_jobs_.erase(first, failed_jobs_.end());
  if (failed_jobs_.empty()) {
    recently_failed_until_ = MonoTime::min();
  }
  if (failed_jobs_.size() < kFailuresToExclude) {
    failing_until_ = MonoTime::min();
    last_resort_from_ = MonoTime::min();
    exclusions_ = 0;
  }
}

void WorkerHealth::OnRefused(MonoTime now) {
  refusing_until_ = std::max(refusing_until_, now + kRefusalExclusion);
}

}  // namespace figflow
