#ifndef REVIEW_STANDIN_DAEMONS_H_
#define REVIEW_STANDIN_DAEMONS_H_

#include <sys/types.h>

#include <string>
#include <vector>

#include "store.h"
#include "world.h"

namespace review {

// The real daemons, as the deploy file starts them, each with addresses of its
// own for the platform's APIs.
class Daemons {
 public:
  // `directory` takes settings and logs.
  Daemons(Store& store,
          World& world,
          Record& record,
          std::string program,
          std::string directory);
  ~Daemons();

  // Starts `count` daemons and waits until they are ready.
  void Start(int count);
  void Signal(int daemon, int signal);
  // Collects a daemon that has ended, and starts it again.
  void Restart(int daemon);
  // Waits for the end of a daemon that got a signal. False if it is still
  // there.
  bool Ended(int daemon);
  int Index(const std::string& name) const;
  int count() const { return static_cast<int>(nodes_.size()); }
  const std::string& name(int daemon) const { return nodes_[daemon].name; }
  int caller_port(int daemon) const { return nodes_[daemon].caller_port; }
  // The daemon that made the last write for this scope; empty if none did.
  std::string WriterOf(const std::string& scope);

 private:
  struct Node {
    std::string name;
    std::string settings;
    std::string log;
    int caller_port = 0;
    int admin_port = 0;
    pid_t pid = 0;
  };

  void Launch(Node& node);

  Store& store_;
  World& world_;
  Record& record_;
  const std::string program_;
  const std::string directory_;
  std::vector<Node> nodes_;
  std::mutex mutex_;
  std::map<std::string, std::string> writers_;
};

}  // namespace review

#endif  // REVIEW_STANDIN_DAEMONS_H_
