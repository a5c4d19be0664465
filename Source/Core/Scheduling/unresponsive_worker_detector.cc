#include "Scheduling/unresponsive_worker_detector.h"

#include <chrono>

namespace figflow {
namespace {

// Maximum lateness of an owner with enough processor time: it notices a failure
// within a step and a turn of its threads.
constexpr std::chrono::milliseconds kMaxLateness{200};
// Validity of a failed hold. Holds to an unresponsive worker follow each other
// by 600 ms, and one that may wait for an ended run takes 1,100 ms.
constexpr std::chrono::milliseconds kFailureValidity{1'500};
// Number of holds after which an owner that is always late gives up a worker.
constexpr int kMinLateHolds = 3;

}  // namespace

void UnresponsiveWorkerDetector::OnAnswer() {
  failed_in_time_ = MonoTime::min();
  failed_late_ = 0;
}

void UnresponsiveWorkerDetector::OnHoldFailed(MonoTime sent_at,
                                              MonoTime::duration lateness,
                                              MonoTime lease_end) {
  if (lateness <= kMaxLateness) {
    failed_in_time_ = sent_at;
  } else if (sent_at >= lease_end) {
    ++failed_late_;
  }
}

bool UnresponsiveWorkerDetector::IsUnresponsive(MonoTime now) const {
  const bool recent = failed_in_time_ != MonoTime::min() &&
                      now <= failed_in_time_ + kFailureValidity;
  return recent || failed_late_ >= kMinLateHolds;
}

}  // namespace figflow
