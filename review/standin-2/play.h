#ifndef REVIEW_STANDIN_2_PLAY_H_
#define REVIEW_STANDIN_2_PLAY_H_

#include <string>
#include <vector>

#include "cloud.h"
#include "daemons.h"
#include "executor.h"
#include "store.h"

namespace standin {

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCouldNotRun = 2;

// The parts of a small deployment, and the operator's configuration.
class Play {
 public:
  // `arguments` are the program of the daemon and the path of the record.
  Play(int count, char** arguments);

  // One queue for each service, with the service's name as its path. Services
  // that begin with "spare" are spare. `advice` is the queues' placement
  // policy, if they have one.
  void Configure(const std::vector<std::string>& services,
                 const json& advice = json());
  // Starts daemons and waits until they are ready and one has each pool.
  bool StartDaemons(int count);
  // Hands a job in at daemons in turn until it is accepted; false after 10 s.
  bool Submit(const std::string& service,
              const std::string& id,
              const json& job);
  // The state of a job, or the status of the answer.
  std::string State(const std::string& service, const std::string& id);
  // Ends all processes and the program.
  [[noreturn]] void Finish(int code, const std::string& what);

  Record record;
  Store store;
  Platform platform;
  Cloud cloud;
  Daemons daemons;

 private:
  std::vector<std::string> pools_;
  int version_ = 0;
  int next_daemon_ = 0;
};

// A job id from a number.
std::string JobId(int number);

}  // namespace standin

#endif  // REVIEW_STANDIN_2_PLAY_H_
