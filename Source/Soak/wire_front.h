#ifndef SOAK_WIRE_FRONT_H_
#define SOAK_WIRE_FRONT_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Common/json.h"
#include "Common/metrics.h"
#include "Http/http_server.h"
#include "Soak/real_time.h"
#include "StandIns/Fleet/model_instances.h"
#include "StandIns/Fleet/model_store.h"
#include "StandIns/Fleet/model_workers.h"

namespace figflow {
struct Job;
}

namespace figflow::soak {

struct Models {
  model::VirtualTime& time;
  model::ModelStore& store;
  model::ModelWorkers& workers;
  model::ModelInstances& instances;
};

// The models behind one HTTP server that speaks the platform's protocol. The
// Host of a call tells the daemon that sent it, as each daemon has an address
// of its own for the store. A call that a model leaves without an answer gets
// none, until its connection closes.
class WireFront {
 public:
  using JobLookup =
      std::function<std::shared_ptr<const Job>(const std::string& id)>;
  using Report = std::function<void(const std::string& what)>;

  // `find_job` knows the jobs that callers handed in; `report` takes what no
  // daemon may send.
  WireFront(RealTime& loop,
            const Models& models,
            uint64_t seed,
            JobLookup find_job,
            Report report);
  ~WireFront();

  Result<void> Start();
  uint16_t port() const { return server_->port(); }
  // Calls with this Host come from the daemon `node`.
  void AddDaemon(const std::string& host, const model::NodePtr& node);

 private:
  struct Daemon {
    std::unique_ptr<TransactionalStore> store;
    std::unique_ptr<InstanceGateway> instances;
  };
  struct Call;
  struct Route;
  static const Route kRoutes[];

  void Handle(Call call);
  void GetKey(const Call& call, Daemon& daemon);
  void GetRange(const Call& call, Daemon& daemon);
  void Watch(const Call& call, Daemon& daemon);
  void Commit(const Call& call, Daemon& daemon);
  void GrantLease(const Call& call, Daemon& daemon);
  void KeepLease(const Call& call, Daemon& daemon);
  void EndLease(const Call& call, Daemon& daemon);
  void ListInstances(const Call& call, Daemon& daemon);
  void MoveInstance(const Call& call, Daemon& daemon);
  void MaintainInstance(const Call& call, Daemon& daemon);
  void StartRun(const Call& call, Daemon& daemon);
  void StopRun(const Call& call, Daemon& daemon);
  void PaceRun(const Call& call, Daemon& daemon);
  void Hold(const Call& call, Daemon& daemon);

  RealTime& loop_;
  Models models_;
  const JobLookup find_job_;
  const Report report_;
  std::mt19937_64 random_;
  std::unique_ptr<WorkerGateway> workers_;
  std::map<std::string, Daemon> daemons_;
  MetricsRegistry metrics_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace figflow::soak

#endif  // SOAK_WIRE_FRONT_H_
