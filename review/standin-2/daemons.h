#ifndef REVIEW_STANDIN_2_DAEMONS_H_
#define REVIEW_STANDIN_2_DAEMONS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "executor.h"
#include "http.h"

namespace standin {

struct DaemonAddresses {
  std::string store;
  std::string instances;
};

// Daemons of the deploy file's build as separate processes, with settings like
// those of the deploy file's template.
class Daemons {
 public:
  Daemons(const std::string& program, Record* record, DaemonAddresses platform);
  // Where the placement policy is asked; to be called before Start.
  void SetPolicyAddress(const std::string& address) { policy_ = address; }
  // Starts the next daemon and returns its number.
  int Start();
  void Restart(int daemon);
  void Signal(int daemon, int signal);
  // Whether the process has ended; collects it.
  bool Ended(int daemon);
  // Kills all processes that are left and removes the temporary folder.
  void End();
  // Waits until all daemons are ready.
  bool WaitReady(milliseconds limit);

  std::string Name(int daemon) const;
  std::string CallerAddress(int daemon) const;
  int count() const { return static_cast<int>(list_.size()); }

 private:
  struct Daemon {
    std::string settings;
    std::string callers;
    std::string admin;
    pid_t pid = 0;
  };
  void Run(Daemon* daemon, int number);

  const std::string program_;
  Record* const record_;
  const DaemonAddresses platform_;
  std::string policy_;
  std::string folder_;
  std::vector<Daemon> list_;
};

// Environment variable TROUBLE; false only for "0".
bool WithTrouble();

}  // namespace standin

#endif  // REVIEW_STANDIN_2_DAEMONS_H_
