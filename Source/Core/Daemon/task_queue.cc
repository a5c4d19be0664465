#include "Daemon/task_queue.h"

#include <utility>

namespace figflow {

TaskQueue::TaskQueue(int threads, size_t capacity) : capacity_(capacity) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this] { Run(); });
  }
}

TaskQueue::~TaskQueue() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

bool TaskQueue::Post(std::function<void()> task) {
  absl::MutexLock lock(&mutex_);
  if (stopping_ || tasks_.size() >= capacity_) {
    return false;
  }
  tasks_.push_back(std::move(task));
  return true;
}

void TaskQueue::Run() {
  const auto ready = [this] {
    mutex_.AssertHeld();
    return stopping_ || !tasks_.empty();
  };
  while (true) {
    std::function<void()> task;
    {
      absl::MutexLock lock(&mutex_);
      mutex_.Await(absl::Condition(&ready));
      if (tasks_.empty()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

}  // namespace figflow
