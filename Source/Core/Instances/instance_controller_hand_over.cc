// Hands the instances over to the next controller.
#include <algorithm>
#include <chrono>
#include <utility>

#include "Instances/instance_controller.h"
#include "Instances/wave_record.h"
#include "Ownership/owner_record.h"

namespace figflow {

bool InstanceController::HasRecentEarlierOrder(const std::string& instance,
                                               MonoTime now) const {
  const auto blocked = blocked_until_.find(instance);
  return (after_crash_ && now < created_at_ + options_.holder_interval) ||
         (blocked != blocked_until_.end() && now < blocked->second);
}

void InstanceController::HandOver(std::function<void()> done) {
  {
    absl::MutexLock lock(&mutex_);
    handing_over_ = true;
    on_handed_over_ = std::move(done);
  }
  TryHandOver();
}

void InstanceController::TryHandOver() {
  std::shared_ptr<RecordWriter> writer;
  std::function<void()> done;
  HandOverRecord record;
  {
    absl::MutexLock lock(&mutex_);
    if (!handing_over_ || !on_handed_over_ || orders_in_flight_ > 0 ||
        writing_) {
      return;
    }
    done = std::move(on_handed_over_);
    on_handed_over_ = nullptr;
    if (active_written_ && writer_ != nullptr && !deposed_) {
      writing_ = true;
      writer = writer_;
      const MonoTime now = clock_.Now();
      record.active =
          after_crash_ && now < created_at_ + options_.holder_interval;
      const auto add = [&](const std::string& instance, MonoTime until) {
        if (now < until) {
          std::chrono::milliseconds& left = record.recently_ordered[instance];
          left = std::max(
              left, std::chrono::ceil<std::chrono::milliseconds>(until - now));
        }
      };
      for (const auto& [instance, until] : blocked_until_) {
        add(instance, until);
      }
      for (const auto& [instance, at] : ordered_at_) {
        add(instance, at + options_.holder_interval);
      }
    }
  }
  if (writer == nullptr) {
    done();
    return;
  }
  writer->Write({{HandOverKey(), FormatHandOverRecord(record), 0}}, {},
                [done](RecordWriter::Outcome) { done(); });
}

}  // namespace figflow
