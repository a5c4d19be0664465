#ifndef DAEMON_TARGET_TRAFFIC_H_
#define DAEMON_TARGET_TRAFFIC_H_

#include <string>

#include "Http/http_client.h"
#include "Pools/pools_controller.h"
#include "Routing/dispatcher.h"
#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Puts the table of shares in force at the dispatcher (slots) and at the HTTP
// client (connections).
class TargetTraffic : public LocalTraffic {
 public:
  // Both arguments must outlive this object.
  TargetTraffic(Dispatcher& dispatcher, HttpClient& client);

  void Install(const RoutingTable& table, MonoTime now) override;
  int InFlight(const PoolId& pool, const InstanceId& instance) const override;
  int Connections(const InstanceId& instance) const override;

 private:
  Dispatcher& dispatcher_;
  HttpClient& client_;
  mutable absl::Mutex mutex_;
  // Last known address of each instance that this daemon had a share of.
  absl::flat_hash_map<InstanceId, std::string> addresses_
      ABSL_GUARDED_BY(mutex_);
  // Limit last set at the client, by address.
  absl::flat_hash_map<std::string, int> limits_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // DAEMON_TARGET_TRAFFIC_H_
