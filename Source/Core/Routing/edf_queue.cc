#include "Routing/edf_queue.h"

#include <algorithm>
#include <utility>

namespace figflow {
namespace {

// Precise enough for waits of seconds. With deadlines up to a minute away,
// CountAhead adds up fewer than 500 buckets.
constexpr std::chrono::milliseconds kStep{128};
constexpr size_t kMinDeadEntries = 64;

int64_t StepOf(MonoTime deadline) {
  return deadline.time_since_epoch() / kStep;
}

}  // namespace

EdfQueue::EdfQueue(size_t capacity) : capacity_(capacity) {}

bool EdfQueue::Later(const HeapEntry& a, const HeapEntry& b) {
  return a.deadline != b.deadline ? a.deadline > b.deadline
                                  : a.sequence > b.sequence;
}

bool EdfQueue::IsLive(const HeapEntry& entry) const {
  const auto it = items_.find(entry.id);
  return it != items_.end() && it->second.sequence == entry.sequence;
}

void EdfQueue::Push(QueuedWork work) {
  const uint64_t id = work.item.id;
  const MonoTime deadline = work.item.deadline;
  const uint64_t sequence = next_sequence_++;
  const auto step = steps_.try_emplace(StepOf(deadline), 0).first;
  ++step->second;
  items_.emplace(id, Entry{std::move(work), sequence, step});
  heap_.push_back(HeapEntry{deadline, sequence, id});
  std::push_heap(heap_.begin(), heap_.end(), Later);
}

QueuedWork EdfQueue::Take(uint64_t id) {
  const auto it = items_.find(id);
  QueuedWork work = std::move(it->second.work);
  if (--it->second.step->second == 0) {
    steps_.erase(it->second.step);
  }
  items_.erase(it);
  return work;
}

void EdfQueue::DropStaleEntries() {
  while (!heap_.empty() && !IsLive(heap_.front())) {
    std::pop_heap(heap_.begin(), heap_.end(), Later);
    heap_.pop_back();
  }
}

std::optional<QueuedWork> EdfQueue::Pop() {
  return PopExpired(MonoTime::max());
}

std::optional<QueuedWork> EdfQueue::PopExpired(MonoTime now) {
  DropStaleEntries();
  if (heap_.empty() || heap_.front().deadline > now) {
    return std::nullopt;
  }
  const uint64_t id = heap_.front().id;
  std::pop_heap(heap_.begin(), heap_.end(), Later);
  heap_.pop_back();
  return Take(id);
}

std::optional<QueuedWork> EdfQueue::Cancel(uint64_t id) {
  if (!Contains(id)) {
    return std::nullopt;
  }
  QueuedWork work = Take(id);
  // Rebuilding the heap only when stale entries outnumber queued items keeps
  // the amortized cost of a cancellation constant and bounds the memory of
  // stale entries.
  if (heap_.size() > 2 * items_.size() + kMinDeadEntries) {
    heap_.erase(
        std::remove_if(heap_.begin(), heap_.end(),
                       [this](const HeapEntry& e) { return !IsLive(e); }),
        heap_.end());
    std::make_heap(heap_.begin(), heap_.end(), Later);
  }
  return work;
}

size_t EdfQueue::CountAhead(MonoTime deadline) const {
  // Most requests have the latest deadline so far, so there are fewer buckets
  // behind the deadline than ahead of it.
  size_t ahead = items_.size();
  const auto first_behind = steps_.upper_bound(StepOf(deadline));
  for (auto it = steps_.end(); it != first_behind;) {
    --it;
    ahead -= it->second;
  }
  return ahead;
}

}  // namespace figflow
