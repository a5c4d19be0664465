#ifndef SCHEDULING_WORK_MEMORY_H_
#define SCHEDULING_WORK_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "Scheduling/job_spec.h"

namespace figflow {

// Memory that one pool's accepted jobs may take. The same on all daemons, so
// that any of them can take the pool over.
inline constexpr size_t kPoolWorkMemory = size_t{16} << 20;

// Counts the memory that accepted jobs take, for a pool or for the whole
// process. Thread-safe: the pools of a process share its counter.
class WorkMemory {
 public:
  // What is counted here counts for `whole` as well, unless it is null.
  explicit WorkMemory(size_t limit, std::shared_ptr<WorkMemory> whole = nullptr)
      : limit_(limit), whole_(std::move(whole)) {}

  // Returns whether `bytes` more stay within this limit and that of the whole.
  bool HasRoom(size_t bytes) const;
  size_t used() const { return used_; }

 private:
  friend class MemoryCharge;
  void Replace(size_t earlier, size_t bytes);

  const size_t limit_;
  const std::shared_ptr<WorkMemory> whole_;
  std::atomic<size_t> used_{0};
};

// Bytes that one job counts for. They are given back with the object.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  explicit MemoryCharge(std::shared_ptr<WorkMemory> memory)
      : memory_(std::move(memory)) {}
  ~MemoryCharge() { Set(0); }
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;

  // Counts `bytes`, whether there is room or not: accepted work stays accepted.
  void Set(size_t bytes);

 private:
  std::shared_ptr<WorkMemory> memory_;
  size_t bytes_ = 0;
};

// Returns upper estimates in bytes: of a job without its tasks, and of the
// tasks of one occurrence.
size_t EstimateJobMemory(const JobSpec& spec, size_t spec_bytes);
size_t EstimateOccurrenceMemory(const JobSpec& spec);

}  // namespace figflow

#endif  // SCHEDULING_WORK_MEMORY_H_
