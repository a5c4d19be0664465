#ifndef HTTP_CLOSE_WATCHER_H_
#define HTTP_CLOSE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <thread>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// State of one caller connection, shared by the server and the watcher.
class WatchedConnection {
 public:
  // Sets the function to call on close for the current request; null removes
  // it. Returns false, without calling it, if the connection closed already.
  bool SetListener(std::function<void()> listener);
  void NotifyClosed();

 private:
  absl::Mutex mutex_;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
  std::function<void()> listener_ ABSL_GUARDED_BY(mutex_);
};

// Reports when the remote side of a connection closes. libmicrohttpd does not
// look at a suspended connection, so a caller that leaves while its request is
// in flight would go unnoticed. A socket is registered once per connection and
// only for hang-up, so requests cause neither system calls nor wake-ups here.
class CloseWatcher {
 public:
  CloseWatcher();
  ~CloseWatcher();
  CloseWatcher(const CloseWatcher&) = delete;
  CloseWatcher& operator=(const CloseWatcher&) = delete;

  // Returns an id for Remove. The kernel forgets the socket when it is closed.
  uint64_t Add(int fd, const std::shared_ptr<WatchedConnection>& connection);
  void Remove(uint64_t id);

 private:
  void Run();

  int epoll_fd_ = -1;
  int stop_fd_ = -1;
  absl::Mutex mutex_;
  uint64_t next_id_ ABSL_GUARDED_BY(mutex_) = 1;
  absl::flat_hash_map<uint64_t, std::shared_ptr<WatchedConnection>> connections_
      ABSL_GUARDED_BY(mutex_);
  std::thread thread_;
};

}  // namespace figflow

#endif  // HTTP_CLOSE_WATCHER_H_
