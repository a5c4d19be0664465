#ifndef SCHEDULING_RECORD_QUEUE_H_
#define SCHEDULING_RECORD_QUEUE_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/job.h"
#include "Scheduling/orders.h"

namespace figflow {

// Records of a pool's jobs that are to be written, and the write in progress.
// Each job is queued at most once; it may change again during its write.
class RecordQueue {
 public:
  // What a refused write leaves: at most one of the two is set. Neither is
  // while the refused record is not known yet.
  struct Refused {
    std::shared_ptr<Job> job;
    std::string removal;
  };

  // Queues the record of a changed job, unless it is held back.
  void Add(const std::shared_ptr<Job>& job);
  // Queues the removal of a job's records.
  void AddRemoval(std::string job) { removals_.push_back(std::move(job)); }
  bool HasWrites() const { return !changed_.empty() || !removals_.empty(); }

  // Begins a write of up to `max_records` records with `max_bytes` in total. A
  // record that alone exceeds `max_bytes` is written alone.
  std::vector<RecordWrite> Take(size_t max_records, size_t max_bytes);
  // Ends the write, which has taken effect. Returns its jobs, with the version
  // that is durable now.
  std::vector<std::shared_ptr<Job>> TakeWritten();
  // Ends the write, which the store has refused for good: it changed nothing.
  // Its records are queued again, in smaller writes, until one of them is
  // refused alone.
  Refused TakeRefused();

  // Holds the records of a job back until then.
  void HoldBack(const std::shared_ptr<Job>& job, MonoTime until);
  // Queues the jobs that are held back up to `now`. Returns when the next one
  // is due, and sets `released` if there was one.
  MonoTime ReleaseDue(MonoTime now, bool* released);
  size_t held_back() const { return held_back_.size(); }

  // Removes the jobs that no write has included, and returns them.
  std::vector<std::shared_ptr<Job>> TakeNeverSent();
  void Remove(const std::shared_ptr<Job>& job);

 private:
  // More than any write holds.
  static constexpr size_t kNoLimit = 1'024;

  std::deque<std::shared_ptr<Job>> changed_;
  std::deque<std::string> removals_;
  std::vector<std::shared_ptr<Job>> jobs_in_write_;
  std::vector<std::string> removals_in_write_;
  std::vector<std::shared_ptr<Job>> held_back_;
  // Maximum number of records in a write; lower after a refusal.
  size_t limit_ = kNoLimit;
};

}  // namespace figflow

#endif  // SCHEDULING_RECORD_QUEUE_H_
