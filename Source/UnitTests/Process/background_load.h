#ifndef PROCESS_BACKGROUND_LOAD_H_
#define PROCESS_BACKGROUND_LOAD_H_

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow::test {

// Threads that send requests one after the other to their URL, until stopped.
class BackgroundLoad {
 public:
  // `threads` senders for each URL.
  BackgroundLoad(const std::vector<std::string>& urls,
                 int threads,
                 std::vector<std::string> headers = {});
  BackgroundLoad(const BackgroundLoad&) = delete;
  BackgroundLoad& operator=(const BackgroundLoad&) = delete;
  ~BackgroundLoad();

  // Ends all senders. Returns the number of responses by outcome: the status,
  // followed by the disposition if figflow made the response, such as
  // "200" or "503 not-run"; "0" for a broken connection.
  std::map<std::string, int> Stop();

 private:
  void Run(const std::string& url);

  const std::vector<std::string> headers_;
  std::atomic<bool> stopping_{false};
  absl::Mutex mutex_;
  std::map<std::string, int> outcomes_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_;
};

}  // namespace figflow::test

#endif  // PROCESS_BACKGROUND_LOAD_H_
