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

// A queued request with the callback that receives its permit or refusal.
struct QueuedWork {
  WorkItem item;
  MonoTime queued_at;
  PermitCallback done;
};

// Bounded queue with the earliest deadline first. Cancellation takes amortized
// constant time: the item is removed from the index, and its stale heap entry
// is removed when it reaches the top of the heap or when stale entries
// outnumber queued items. Not thread-safe.
class EdfQueue {
 public:
  explicit EdfQueue(size_t capacity);

  size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }
  bool full() const { return items_.size() >= capacity_; }
  bool Contains(uint64_t id) const { return items_.count(id) != 0; }

  // Adds an item. The queue must not be full and must not contain its id.
  void Push(QueuedWork work);
  // Removes and returns the item with the earliest deadline; nullopt if the
  // queue is empty.
  std::optional<QueuedWork> Pop();
  // Like Pop, but returns nullopt if the earliest deadline is after `now`.
  std::optional<QueuedWork> PopExpired(MonoTime now);
  // Removes and returns the item; nullopt if it is not queued.
  std::optional<QueuedWork> Cancel(uint64_t id);
  // Returns the number of items that are served before an item with this
  // deadline. Deadlines are counted in buckets of 128 ms; all items in the
  // bucket of `deadline` count as ahead.
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
  void DropStaleEntries();
  QueuedWork Take(uint64_t id);

  size_t capacity_;
  uint64_t next_sequence_ = 0;
  absl::flat_hash_map<uint64_t, Entry> items_;
  std::vector<HeapEntry> heap_;
  Steps steps_;
};

}  // namespace figflow

#endif  // ROUTING_EDF_QUEUE_H_
