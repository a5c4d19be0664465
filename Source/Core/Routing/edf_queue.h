#ifndef ROUTING_EDF_QUEUE_H_
#define ROUTING_EDF_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/clock.h"
#include "Routing/dispatcher.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

struct QueuedWork {
  WorkItem item;
  MonoTime queued_at;
  PermitCallback done;
};

// Bounded queue in order of deadline, earliest first. Cancelling is O(1): the
// item leaves the index and its heap entry is dropped when it surfaces, or when
// dropped entries outnumber live ones. Not thread-safe.
class EdfQueue {
 public:
  explicit EdfQueue(size_t capacity);

  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  bool full() const { return items_.size() >= capacity_; }
  bool Contains(uint64_t id) const { return items_.count(id) != 0; }

  // The queue must not be full and must not contain the id.
  void Push(QueuedWork work);
  // Removes and returns the item with the earliest deadline.
  std::optional<QueuedWork> Pop();
  // As Pop, but only if that deadline is not after `now`.
  std::optional<QueuedWork> PopExpired(MonoTime now);
  std::optional<QueuedWork> Cancel(uint64_t id);
  // Items that an item with this deadline would wait for. Deadlines are counted
  // in steps of 128 ms; the step of `deadline` counts as ahead.
  size_t CountAhead(MonoTime deadline) const;

 private:
  using Steps = std::map<int64_t, size_t>;

  struct Entry {
    QueuedWork work;
    uint64_t sequence = 0;
    Steps::iterator step;
  };
  struct HeapEntry {
    MonoTime deadline;
    uint64_t sequence = 0;
    uint64_t id = 0;
  };

  static bool Later(const HeapEntry& a, const HeapEntry& b);
  bool IsLive(const HeapEntry& entry) const;
  void DropDeadEntries();
  QueuedWork Take(uint64_t id);

  size_t capacity_;
  uint64_t next_sequence_ = 0;
  absl::flat_hash_map<uint64_t, Entry> items_;
  std::vector<HeapEntry> heap_;
  Steps steps_;
};

}  // namespace figflow

#endif  // ROUTING_EDF_QUEUE_H_
