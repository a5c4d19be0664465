#include "Scheduling/work_memory.h"

#include <utility>

#include "Scheduling/job.h"

namespace figflow {
namespace {

// A task with a worker and a checkpoint: its state, its entry in the worker's
// set, and the heap blocks of its strings.
constexpr size_t kTaskBytes = sizeof(Task) + sizeof(TaskRef) + 112;
// Entries of the job in the scheduler's maps.
constexpr size_t kJobEntryBytes = 256;
// Node of a map.
constexpr size_t kNodeBytes = 48;

}  // namespace

bool WorkMemory::HasRoom(size_t bytes) const {
  const size_t used = used_;
  return used <= limit_ && bytes <= limit_ - used &&
         (whole_ == nullptr || whole_->HasRoom(bytes));
}

void WorkMemory::Replace(size_t earlier, size_t bytes) {
  // Unsigned arithmetic wraps, so the difference may be negative.
  used_ += bytes - earlier;
  if (whole_ != nullptr) {
    whole_->Replace(earlier, bytes);
  }
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : memory_(std::move(other.memory_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this != &other) {
    Set(0);
    memory_ = std::move(other.memory_);
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

void MemoryCharge::Set(size_t bytes) {
  if (memory_ != nullptr) {
    memory_->Replace(bytes_, bytes);
    bytes_ = bytes;
  }
}

size_t EstimateJobMemory(const JobSpec& spec, size_t spec_bytes) {
  size_t bytes = sizeof(Job) + kJobEntryBytes + spec_bytes + spec.id.size() +
                 spec.queue.size() + spec.payload.size() + spec.customer.size();
  for (const StageSpec& stage : spec.stages) {
    bytes += sizeof(StageSpec) + stage.after.size() * sizeof(int) +
             stage.required_label.size() + stage.preferred_rack.size() +
             stage.image.size();
  }
  return bytes;
}

size_t EstimateOccurrenceMemory(const JobSpec& spec) {
  return sizeof(Occurrence) + kNodeBytes + spec.stages.size() * sizeof(Stage) +
         static_cast<size_t>(spec.task_count()) * kTaskBytes;
}

}  // namespace figflow
