#include "StandIns/Fleet/model_platform.h"

#include <utility>
#include <vector>

#include "Common/json.h"

#include "Common/cbor.h"
#include "Http/http_headers.h"
#include "Scheduling/customer_keys.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace figflow::model {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kOperatorPrefix[] = "model/op/";
constexpr char kWavePrefix[] = "model/op/wave/";

class ModelAdapter : public PlatformAdapter {
 public:
  ModelAdapter(ModelStore& store,
               ModelWorkers& workers,
               ModelInstances& instances,
               const NodePtr& node)
      : store_(store.ViewOf(node)),
        workers_(workers.ViewOf(node)),
        instances_(instances.ViewOf(node)) {}

  TransactionalStore& store() override { return *store_; }
  WorkerGateway& workers() override { return *workers_; }
  InstanceGateway& instances() override { return *instances_; }

  std::string operator_prefix() const override { return kOperatorPrefix; }
  bool IsPlanKey(absl::string_view key) const override {
    return key == kModelPlanKey;
  }
  Result<FleetPlan> ParsePlan(absl::string_view bytes) const override {
    return ParseCbor<FleetPlan>(bytes, "model.plan", [](const json& row) {
      FleetPlan plan;
      plan.version = row.at(0).get<uint64_t>();
      for (const json& entry : row.at(1)) {
        QueueConfig queue;
        queue.name = entry.at(0).get<std::string>();
        queue.pool = entry.at(1).get<std::string>();
        queue.priority = entry.at(2).get<int>();
        queue.max_attempts = entry.at(3).get<int>();
        queue.stretch = entry.at(4).get<double>();
        queue.objective = milliseconds(entry.at(5).get<int64_t>());
        queue.path_prefix = absl::StrCat("/", queue.name, "/");
        if (entry.at(6).get<bool>()) {
          queue.policy = PlacementPolicy();
        }
        queue.open = entry.at(7).get<bool>();
        plan.queues.push_back(std::move(queue));
      }
      for (const json& entry : row.at(2)) {
        PoolConfig pool;
        pool.name = entry.at(0).get<std::string>();
        pool.spare = entry.at(1).get<bool>();
        pool.rejects_overload = true;
        plan.pools.push_back(std::move(pool));
      }
      plan.requires_keys = row.at(3).get<bool>();
      for (const json& entry : row.at(4)) {
        CustomerConfig customer;
        customer.name = entry.at(0).get<std::string>();
        customer.keys = entry.at(1).get<std::vector<std::string>>();
        plan.customers.push_back(std::move(customer));
      }
      plan.keys = std::make_shared<const CustomerKeys>(plan.customers);
      return plan;
    });
  }
  bool IsWaveKey(absl::string_view key) const override {
    return absl::StartsWith(key, kWavePrefix);
  }
  Result<MaintenanceWave> ParseWave(absl::string_view /*key*/,
                                    absl::string_view bytes) const override {
    return ParseCbor<MaintenanceWave>(bytes, "model.wave", [](const json& row) {
      MaintenanceWave wave;
      wave.number = row.at(0).get<uint64_t>();
      wave.instances = row.at(1).get<std::vector<std::string>>();
      wave.complete_within = milliseconds(row.at(2).get<int64_t>());
      wave.max_down = row.at(3).get<int>();
      return wave;
    });
  }
  std::string WaveStatusKey(uint64_t wave) const override {
    return ModelWaveStatusKey(wave);
  }
  std::string FormatWaveStatus(uint64_t /*wave*/,
                               bool completed) const override {
    return completed ? "completed" : "running";
  }

  std::string worker_prefix() const override { return kModelWorkerPrefix; }
  std::string WorkerIdOf(absl::string_view key) const override {
    return std::string(key.substr(sizeof(kModelWorkerPrefix) - 1));
  }
  Result<WorkerReport> ParseWorker(absl::string_view key,
                                   absl::string_view bytes) const override {
    return ParseModelWorker(WorkerIdOf(key), bytes);
  }

  Result<CallerCall> ParseCall(const HttpRequest& request,
                               const FleetPlan& plan) const override {
    const std::vector<std::string> parts = absl::StrSplit(request.target, '/');
    const QueueConfig* queue =
        parts.size() == 3 ? plan.FindQueueByName(parts[1]) : nullptr;
    if (queue == nullptr) {
      return Fail(ErrorCode::kNotFound, "model.call", "", "no such queue");
    }
    CallerCall call;
    call.queue = queue->name;
    call.pool = queue->pool;
    call.job = parts[2];
    call.patience = milliseconds(3'000);
    if (plan.requires_keys && !queue->open) {
      const std::string* key = FindHeader(request.headers, kModelKeyHeader);
      if (key == nullptr) {
        return RefuseKey(KeyFault::kMissing);
      }
      Result<std::string> customer = FindCustomerByKey(plan, *key);
      if (!customer) {
        return tl::unexpected<Error>(customer.error());
      }
      call.customer = std::move(*customer);
    }
    if (request.method == "GET") {
      call.kind = call.job.empty() ? CallKind::kCountPending : CallKind::kQuery;
      return call;
    }
    if (request.method == "DELETE") {
      call.kind = CallKind::kCancel;
      return call;
    }
    call.kind = CallKind::kSubmit;
    Result<JobSpec> spec = ParseJobSpec(request.body);
    if (!spec) {
      return tl::unexpected<Error>(spec.error());
    }
    call.spec = std::move(*spec);
    call.spec.max_attempts = queue->max_attempts;
    call.spec.customer = call.customer;
    return call;
  }

  HttpResponse FormatReply(const CallerReply& reply) const override {
    HttpResponse response;
    response.status = 503;
    switch (reply.outcome) {
      case CallOutcome::kAccepted:
      case CallOutcome::kCancelled:
        response.status = 200;
        break;
      case CallOutcome::kState:
        response.status = 200;
        response.body = reply.status == JobStatus::kLive
                            ? (reply.started ? "running" : "queued")
                            : std::string(JobStatusName(reply.status));
        break;
      case CallOutcome::kPendingCount:
        response.status = 200;
        response.body = absl::StrCat(reply.pending);
        break;
      case CallOutcome::kNoSuchJob:
        response.status = 410;
        break;
      case CallOutcome::kNoSuchQueue:
        response.status = 404;
        break;
      case CallOutcome::kMalformed:
        response.status = 400;
        break;
      case CallOutcome::kUnauthorized:
        response.status = 401;
        break;
      case CallOutcome::kUnknown:
        response.status = 504;
        break;
      case CallOutcome::kRefused:
      case CallOutcome::kUnavailable:
        break;
    }
    return response;
  }
  HttpResponse AnswerProbe(const HttpRequest& /*request*/,
                           bool ready) const override {
    return {ready ? 200 : 503, {}, ""};
  }

 private:
  const std::unique_ptr<TransactionalStore> store_;
  const std::unique_ptr<WorkerGateway> workers_;
  const std::unique_ptr<InstanceGateway> instances_;
};

}  // namespace

std::string FormatModelPlan(const FleetPlan& plan) {
  json queues = json::array();
  for (const QueueConfig& queue : plan.queues) {
    queues.push_back(
        json::array({queue.name, queue.pool, queue.priority, queue.max_attempts,
                     queue.stretch, queue.objective.count(),
                     queue.policy.has_value(), queue.open}));
  }
  json pools = json::array();
  for (const PoolConfig& pool : plan.pools) {
    pools.push_back(json::array({pool.name, pool.spare}));
  }
  json customers = json::array();
  for (const CustomerConfig& customer : plan.customers) {
    customers.push_back(json::array({customer.name, customer.keys}));
  }
  return FormatCbor(
      json::array({plan.version, std::move(queues), std::move(pools),
                   plan.requires_keys, std::move(customers)}));
}

std::string ModelWaveKey(uint64_t wave) {
  return absl::StrCat(kWavePrefix, wave);
}

std::string ModelWaveStatusKey(uint64_t wave) {
  return absl::StrCat("model/status/wave/", wave);
}

std::string FormatModelWave(const MaintenanceWave& wave) {
  return FormatCbor(json::array({wave.number, wave.instances,
                                 wave.complete_within.count(), wave.max_down}));
}

HttpRequest ModelRequest(const std::string& method,
                         const std::string& queue,
                         const std::string& job,
                         const std::string& body) {
  HttpRequest request;
  request.method = method;
  request.target = absl::StrCat("/", queue, "/", job);
  request.body = body;
  return request;
}

std::unique_ptr<PlatformAdapter> MakeModelPlatform(ModelStore& store,
                                                   ModelWorkers& workers,
                                                   ModelInstances& instances,
                                                   const NodePtr& node) {
  return std::make_unique<ModelAdapter>(store, workers, instances, node);
}

}  // namespace figflow::model
