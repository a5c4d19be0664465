#ifndef DAEMON_TASK_QUEUE_H_
#define DAEMON_TASK_QUEUE_H_

#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Runs blocking work on a few threads, so that it does not hold up the event
// threads of a server. Bounded: an operator's script must not fill memory.
class TaskQueue {
 public:
  TaskQueue(int threads, size_t capacity);
  // Runs what is queued, then ends.
  ~TaskQueue();
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  // False if the queue is full.
  bool Post(std::function<void()> task);

 private:
  void Run();

  const size_t capacity_;
  absl::Mutex mutex_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

}  // namespace figflow

#endif  // DAEMON_TASK_QUEUE_H_
