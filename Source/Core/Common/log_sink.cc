#include "Common/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <utility>

namespace figflow {

bool LogSink::Write(std::string line) {
  if (line.size() > kLongestLine) {
    line.resize(kLongestLine - 1);
    line.push_back('\n');
  }
  absl::MutexLock lock(&mutex_);
  pollfd ready{fd_, POLLOUT, 0};
  const bool writable =
      poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0;
  if (writable && write(fd_, line.data(), line.size()) ==
                      static_cast<ssize_t>(line.size())) {
    return true;
  }
  dropped_.fetch_add(1, std::memory_order_relaxed);
  return false;
}

}  // namespace figflow
