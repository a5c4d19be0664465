#ifndef PROCESS_SERVING_CLUSTER_H_
#define PROCESS_SERVING_CLUSTER_H_

#include <map>
#include <string>

#include "Process/cluster.h"

namespace figflow::test {

// A cluster whose targets all serve the project "shop", ready for requests.
class ServingCluster : public Cluster {
 public:
  // `instances` of each data centre belong to "shop"; 0: all.
  explicit ServingCluster(ClusterOptions options = {}, int instances = 0);

  // URL of a request to "shop" at an entry.
  std::string Shop(int entry, const std::string& path = "/hello") const;

  nlohmann::json TargetStats(int target);
  // Sum of a counter over all targets that answer.
  int Sum(const char* counter);
  // Executions of an Idempotency-Key at all targets.
  int Executions(const std::string& key);
  // "normal", "truncated", "close-delimited", "die", "leaving" or "late".
  void SetTargetMode(int target, const std::string& mode);

  // A fresh ticket of the entry; "" on failure.
  std::string Ticket(int entry);
  // Sends an unrepeatable POST to "shop".
  CallResult PostOnce(int entry,
                      const std::string& key,
                      const std::string& path = "/order");
};

// "200: 5; 503 not-run: 1; " for the message of an assertion.
std::string Describe(const std::map<std::string, int>& outcomes);

}  // namespace figflow::test

#endif  // PROCESS_SERVING_CLUSTER_H_
