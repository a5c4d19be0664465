#ifndef STANDINS_PLATFORM_FAULT_PLAN_H_
#define STANDINS_PLATFORM_FAULT_PLAN_H_

#include <chrono>
#include <optional>

#include "Common/json.h"

#include "Common/clock.h"
#include "Common/error.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::standin {

// Faults in force. The JSON form has one member per field.
struct Faults {
  // Every call is answered with 503 and has no effect.
  bool down = false;
  // Every connection is closed without an answer and without an effect.
  bool unreachable = false;
  // Delay of every call, in milliseconds.
  int slow_ms = 0;
  // Number of next writes that take effect and get no answer.
  int lose_answers = 0;
  // Number of next writes that have no effect and get no answer.
  int lose_requests = 0;
  // The instance list stays as it was when the fault was switched on.
  bool stale_list = false;
};

class FaultPlan {
 public:
  // Sets the members present in `json`; {"reset": true} clears all first.
  Result<void> Set(const nlohmann::json& json, MonoTime now);

  Faults Current() const;
  // Counts down; true if the next write's request or answer is to be lost.
  bool TakeLostRequest();
  bool TakeLostAnswer();
  // Time at which the instance list was frozen.
  std::optional<MonoTime> ListFrozenAt() const;

  nlohmann::json ToJson() const;

 private:
  mutable absl::Mutex mutex_;
  Faults faults_ ABSL_GUARDED_BY(mutex_);
  MonoTime frozen_at_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_FAULT_PLAN_H_
