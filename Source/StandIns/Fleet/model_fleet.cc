#include "StandIns/Fleet/model_fleet.h"

#include <algorithm>
#include <utility>

#include "Http/http_status.h"
#include "Ownership/owner_record.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow::model {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeerLatency{1};
// What a refused or unanswered caller waits before it tries again.
constexpr milliseconds kRetryPause{300};
constexpr milliseconds kCallerPatience{3'000};
constexpr milliseconds kPollInterval{250};

class ModelExchange : public HttpExchange {
 public:
  explicit ModelExchange(std::function<void(HttpResponse)> done)
      : done_(std::move(done)) {}

  void Respond(HttpResponse response) override {
    const auto done = std::exchange(done_, nullptr);
    if (done) {
      done(std::move(response));
    }
  }
  void SetCloseListener(std::function<void()> /*listener*/) override {}

 private:
  std::function<void(HttpResponse)> done_;
};

// Then the caller gives the job up.
constexpr int kMostAttempts = 40;

}  // namespace

// Calls of one daemon to the others.
class ModelFleet::Peers : public HttpTransport {
 public:
  Peers(ModelFleet& fleet, NodePtr node)
      : fleet_(fleet), node_(std::move(node)) {}

  uint64_t Start(TransferRequest request, TransferCallback done) override;
  void Cancel(uint64_t /*id*/) override {}
  void CancelIfSilent(uint64_t /*id*/) override {}

 private:
  ModelFleet& fleet_;
  const NodePtr node_;
};

struct ModelFleet::Daemon {
  struct Process {
    NodePtr node;
    std::unique_ptr<PlatformAdapter> platform;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<FleetEngine> engine;
    std::unique_ptr<CallRouter> router;
  };
  std::string name;
  int64_t millicores = 0;
  std::shared_ptr<Process> process;
  // Processes that have ended: callbacks may still refer to them.
  std::vector<std::shared_ptr<Process>> ended;
  uint64_t epoch = 0;
  MonoTime next_step;
};

uint64_t ModelFleet::Peers::Start(TransferRequest request,
                                  TransferCallback done) {
  int target = -1;
  const size_t colon = request.address.find(':');
  const bool known =
      absl::SimpleAtoi(request.address.substr(1, colon - 1), &target) &&
      target < fleet_.daemons();
  auto answered = std::make_shared<bool>(false);
  const std::string address = request.address;
  RunIn(fleet_.time, node_, request.deadline - fleet_.time.Now(),
        [answered, done, address] {
          if (!std::exchange(*answered, true)) {
            TransferResult result;
            result.sent = true;
            result.response = Fail(ErrorCode::kDeadlineExceeded, "model.peer",
                                   address, "no answer");
            done(std::move(result));
          }
        });
  if (!known) {
    return 0;
  }
  const auto process = fleet_.daemons_[target]->process;
  const NodePtr from = node_;
  ModelFleet& fleet = fleet_;
  if (from->peers_cut || process == nullptr || process->node->peers_cut) {
    return 0;
  }
  RunIn(fleet.time, process->node, kPeerLatency,
        [&fleet, process, from, request, answered, done] {
          auto exchange = std::make_shared<ModelExchange>(
              [&fleet, from, process, answered, done](HttpResponse response) {
                if (from->peers_cut || process->node->peers_cut) {
                  return;
                }
                RunIn(fleet.time, from, kPeerLatency,
                      [answered, done, response = std::move(response)] {
                        if (!std::exchange(*answered, true)) {
                          TransferResult result;
                          result.sent = true;
                          result.response = response;
                          done(std::move(result));
                        }
                      });
              });
          process->router->HandlePeer(*request.message, exchange);
        });
  return 0;
}

ModelFleet::ModelFleet(uint64_t seed)
    : store(time, seed),
      workers(time, store, promises, seed + 1),
      instances(time, workers, promises),
      random_(seed + 2) {}

ModelFleet::~ModelFleet() {
  for (const auto& daemon : daemons_) {
    if (daemon->process) {
      daemon->process->node->alive = false;
      daemon->ended.push_back(daemon->process);
    }
    // Requests that were never answered refer to their process.
    for (const auto& process : daemon->ended) {
      process->engine->Stop();
    }
  }
}

void ModelFleet::SetPlan(const FleetPlan& plan) {
  for (const PoolConfig& pool : plan.pools) {
    if (pool.spare) {
      instances.SetSparePool(pool.name);
    }
  }
  promises.SetPlan(plan);
  store.Put(kModelPlanKey, FormatModelPlan(plan));
}

void ModelFleet::AddDaemons(int count, int64_t millicores) {
  for (int i = 0; i < count; ++i) {
    auto daemon = std::make_unique<Daemon>();
    daemon->name = absl::StrCat("d", daemons_.size());
    daemon->millicores = millicores;
    daemons_.push_back(std::move(daemon));
    Start(static_cast<int>(daemons_.size()) - 1);
  }
}

void ModelFleet::Start(int index) {
  Daemon& daemon = *daemons_[index];
  auto process = std::make_shared<Daemon::Process>();
  process->node = std::make_shared<ModelNode>();
  process->node->name = daemon.name;
  process->platform =
      MakeModelPlatform(store, workers, instances, process->node);
  process->peers = std::make_unique<Peers>(*this, process->node);
  FleetEngineOptions options;
  options.entry = daemon.name;
  options.peer_address = absl::StrCat(daemon.name, ":1");
  options.process_id = absl::StrCat(daemon.name, "~", next_process_++, "~");
  options.millicores = daemon.millicores;
  options.bounds = bounds_;
  process->engine = std::make_unique<FleetEngine>(*process->platform, time,
                                                  metrics_, options);
  process->router = std::make_unique<CallRouter>(
      *process->engine, *process->platform, *process->peers, time, metrics_);
  process->engine->SetSyncPool(
      [router = process->router.get()](
          const std::string& pool, const WorkerOrders& orders,
          std::function<void(Result<PoolReport>)> done) {
        router->SyncPool(pool, orders, std::move(done));
      });
  daemon.process = process;
  const uint64_t epoch = ++daemon.epoch;
  process->engine->SetWakeCallback([this, index, epoch](MonoTime at) {
    const auto delay = std::max(at - time.Now(), VirtualTime::Duration(0));
    if (at == MonoTime::max()) {
      return;
    }
    Daemon& woken = *daemons_[index];
    if (woken.epoch != epoch || at >= woken.next_step) {
      return;
    }
    woken.next_step = at;
    time.After(delay, [this, index, epoch] { StepLoop(index, epoch); });
  });
  daemon.next_step = time.Now();
  process->engine->Start();
  StepLoop(index, epoch);
}

void ModelFleet::StepLoop(int index, uint64_t epoch) {
  Daemon& daemon = *daemons_[index];
  if (daemon.epoch != epoch || time.Now() < daemon.next_step) {
    return;
  }
  const MonoTime suspended = daemon.process->node->suspended_until;
  MonoTime next = suspended;
  if (suspended <= time.Now()) {
    daemon.next_step = MonoTime::max();
    next = daemon.process->engine->Step(time.Now());
    next = std::min(next, daemon.next_step);
  }
  daemon.next_step = std::max(next, time.Now() + milliseconds(1));
  time.At(daemon.next_step, [this, index, epoch] { StepLoop(index, epoch); });
}

void ModelFleet::Kill(int index, VirtualTime::Duration down) {
  Daemon& daemon = *daemons_[index];
  if (!daemon.process) {
    return;
  }
  daemon.process->node->alive = false;
  ++daemon.epoch;
  // Requests that it held get no answer.
  daemon.ended.push_back(daemon.process);
  daemon.process = nullptr;
  time.After(down, [this, index] { Start(index); });
}

void ModelFleet::Suspend(int index, VirtualTime::Duration duration) {
  if (daemons_[index]->process) {
    daemons_[index]->process->node->suspended_until = time.Now() + duration;
  }
}

void ModelFleet::Restart(int index) {
  if (!daemons_[index]->process) {
    return;
  }
  daemons_[index]->process->engine->BeginRelease();
  const uint64_t epoch = daemons_[index]->epoch;
  time.After(milliseconds(2'500), [this, index, epoch] {
    if (daemons_[index]->epoch == epoch) {
      Kill(index, milliseconds(300));
    }
  });
}

NodePtr ModelFleet::Node(int daemon) const {
  return daemons_[daemon]->process ? daemons_[daemon]->process->node : nullptr;
}

FleetEngine& ModelFleet::Engine(int daemon) const {
  return *daemons_[daemon]->process->engine;
}

int ModelFleet::OwnerOf(const std::string& scope) const {
  const StoreItem* item = store.Find(OwnerKey(scope));
  if (item == nullptr) {
    return -1;
  }
  const Result<OwnerRecord> record = ParseOwnerRecord(item->value);
  for (int i = 0; i < daemons(); ++i) {
    if (record && daemons_[i]->name == record->entry) {
      return i;
    }
  }
  return -1;
}

void ModelFleet::Call(
    int daemon,
    const HttpRequest& request,
    const std::function<void(int status, const std::string& body)>& done) {
  const auto process = daemons_[daemon]->process;
  auto answered = std::make_shared<bool>(false);
  // A caller gives up after its patience.
  time.After(kCallerPatience + milliseconds(50), [answered, done] {
    if (!std::exchange(*answered, true)) {
      done(0, "");
    }
  });
  if (process == nullptr) {
    return;
  }
  auto exchange = std::make_shared<ModelExchange>(
      [answered, done](const HttpResponse& response) {
        if (!std::exchange(*answered, true)) {
          done(response.status, response.body);
        }
      });
  RunIn(time, process->node, kPeerLatency, [process, request, exchange] {
    process->router->Handle(request, exchange);
  });
}

void ModelFleet::Submit(const JobSpec& spec, int daemon) {
  promises.OnSubmitted(spec);
  SubmitAttempt(spec, daemon, 0);
}

void ModelFleet::SubmitAttempt(const JobSpec& spec, int daemon, int attempt) {
  const MonoTime sent_at = time.Now();
  Call(daemon, ModelRequest("POST", spec.queue, spec.id, FormatJobSpec(spec)),
       [this, spec, daemon, attempt, sent_at](int status,
                                              const std::string& /*body*/) {
         if (attempt == 0) {
           ++first_answers[status];
           VirtualTime::Duration& longest = longest_answer[status];
           longest = std::max(longest, time.Now() - sent_at);
         }
         if (status == http_status::kOk) {
           promises.OnAccepted(spec.id, time.Now());
           // The states that one caller sees are in order.
           if (polled_.insert(spec.id).second) {
             Poll(spec.queue, spec.id, daemon);
           }
           return;
         }
         if (status == 503) {
           promises.OnRefused(spec.id);
         }
         if (attempt < kMostAttempts) {
           time.After(kRetryPause, [this, spec, daemon, attempt] {
             SubmitAttempt(spec, (daemon + 1) % daemons(), attempt + 1);
           });
         }
       });
}

void ModelFleet::Poll(const std::string& queue,
                      const std::string& job,
                      int daemon) {
  Call(daemon, ModelRequest("GET", queue, job, ""),
       [this, queue, job, daemon](int status, const std::string& body) {
         if (status == http_status::kOk) {
           promises.OnShown(job, body);
         } else if (status == http_status::kGone) {
           promises.OnUnknownJobAnswer(job, time.Now());
         }
         const bool over =
             body == "completed" || body == "failed" || body == "cancelled";
         if (!over) {
           time.After(kPollInterval, [this, queue, job, daemon] {
             Poll(queue, job, (daemon + 1) % daemons());
           });
         }
       });
}

void ModelFleet::Cancel(const std::string& queue,
                        const std::string& job,
                        int daemon) {
  promises.OnCancelAsked(job);
  Call(daemon, ModelRequest("DELETE", queue, job, ""),
       [this, queue, job, daemon](int status, const std::string& /*body*/) {
         if (status == http_status::kOk) {
           promises.OnCancelAcknowledged(job, time.Now());
         } else if (status != http_status::kGone) {
           time.After(kRetryPause, [this, queue, job, daemon] {
             Cancel(queue, job, (daemon + 1) % daemons());
           });
         }
       });
}

JobSpec SimpleJob(const std::string& id,
                  const std::string& queue,
                  int stages,
                  int tasks,
                  int64_t millicores) {
  JobSpec spec;
  spec.id = id;
  spec.queue = queue;
  for (int i = 0; i < stages; ++i) {
    StageSpec stage;
    stage.count = tasks;
    stage.per_task = {millicores, 100, 0};
    stage.estimate = milliseconds(500);
    if (i > 0) {
      stage.after = {i - 1};
    }
    spec.stages.push_back(std::move(stage));
  }
  return spec;
}

FleetPlan SimplePlan(int pools) {
  FleetPlan plan;
  plan.version = 1;
  for (int i = 0; i < pools; ++i) {
    QueueConfig queue;
    queue.name = absl::StrCat("q", i);
    queue.pool = absl::StrCat("p", i);
    queue.max_attempts = 3;
    queue.stretch = 1.6;
    queue.objective = milliseconds(600);
    plan.queues.push_back(std::move(queue));
    plan.pools.push_back({absl::StrCat("p", i), true, false, 64});
  }
  plan.pools.push_back({"spare", true, true, 64});
  return plan;
}

}  // namespace figflow::model
