#include "Http/close_watcher.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>

namespace figflow {
namespace {

// Id of the event that stops the thread; connections start at 1.
constexpr uint64_t kStopId = 0;
constexpr int kCloseEvents = 64;

}  // namespace

bool WatchedConnection::SetListener(std::function<void()> listener) {
  absl::MutexLock lock(&mutex_);
  if (closed_ && listener != nullptr) {
    return false;
  }
  listener_ = std::move(listener);
  return true;
}

void WatchedConnection::NotifyClosed() {
  std::function<void()> listener;
  {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
    listener = std::exchange(listener_, nullptr);
  }
  if (listener != nullptr) {
    listener();
  }
}

CloseWatcher::CloseWatcher()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      stop_fd_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = kStopId;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, stop_fd_, &event);
  thread_ = std::thread([this] { Run(); });
}

CloseWatcher::~CloseWatcher() {
  eventfd_write(stop_fd_, 1);
  thread_.join();
  close(stop_fd_);
  close(epoll_fd_);
}

uint64_t CloseWatcher::Add(
    int fd,
    const std::shared_ptr<WatchedConnection>& connection) {
  uint64_t id = 0;
  {
    absl::MutexLock lock(&mutex_);
    id = next_id_++;
    connections_.emplace(id, connection);
  }
  epoll_event event{};
  event.events = EPOLLRDHUP | EPOLLET;
  event.data.u64 = id;
  epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
  return id;
}

void CloseWatcher::Remove(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  connections_.erase(id);
}

void CloseWatcher::Run() {
  epoll_event events[kCloseEvents];
  while (true) {
    const int count = epoll_wait(epoll_fd_, events, kCloseEvents, -1);
    for (int i = 0; i < count; ++i) {
      if (events[i].data.u64 == kStopId) {
        return;
      }
      std::shared_ptr<WatchedConnection> connection;
      {
        absl::MutexLock lock(&mutex_);
        auto it = connections_.find(events[i].data.u64);
        if (it != connections_.end()) {
          connection = it->second;
        }
      }
      if (connection != nullptr) {
        connection->NotifyClosed();
      }
    }
  }
}

}  // namespace figflow
