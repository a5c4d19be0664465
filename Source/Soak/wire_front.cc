#include "Soak/wire_front.h"

#include <algorithm>
#include <utility>

#include "Http/http_headers.h"
#include "Http/http_status.h"
#include "Scheduling/job.h"
#include "Soak/wire_format.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "wire_json.h"

namespace figflow::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using wire::Optional;

constexpr int kOtherLife = 421;
// The daemons' own time limits are shorter.
constexpr milliseconds kStoreTimeout{30'000};

int64_t Number(const std::string& text) {
  int64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

// Answers a failed call as the store does: turned away, or not at all.
void AnswerFailure(const std::shared_ptr<HttpExchange>& exchange,
                   const Error& error) {
  if (error.code == ErrorCode::kUnavailable) {
    exchange->Respond(JsonResponse(503, json::object()));
  } else if (error.code == ErrorCode::kNotFound) {
    exchange->Respond(JsonResponse(http_status::kNotFound, json::object()));
  }
}

}  // namespace

struct WireFront::Call {
  HttpRequest request;
  std::shared_ptr<HttpExchange> exchange;
  json body;

  std::string Query(const char* name) const {
    return QueryValue(request.target, name);
  }
  std::string Header(const char* name) const {
    const std::string* value = FindHeader(request.headers, name);
    return value == nullptr ? "" : *value;
  }
  // The last part of the path.
  std::string Id() const {
    return request.target.substr(request.target.rfind('/') + 1);
  }
  OrderTarget Target() const {
    OrderTarget target;
    target.worker.id = Header("expect-instance");
    target.fence = body.at("Fence").get<uint64_t>();
    return target;
  }
  void Answer(int status, const json& answer) const {
    exchange->Respond(JsonResponse(status, answer));
  }
  WorkerGateway::OrderCallback OrderDone() const {
    return [exchange = exchange](const Result<OrderResponse>& answer) {
      if (answer) {
        exchange->Respond(FormatOrderAnswer(*answer));
      }
    };
  }
};

struct WireFront::Route {
  const char* method;
  const char* path;
  void (WireFront::*handle)(const Call& call, Daemon& daemon);
  bool to_worker;
};

const WireFront::Route WireFront::kRoutes[] = {
    {"GET", "/-/kv-key?", &WireFront::GetKey, false},
    {"GET", "/-/kv-range?", &WireFront::GetRange, false},
    {"GET", "/-/kv-watch?", &WireFront::Watch, false},
    {"POST", "/-/kv-txn", &WireFront::Commit, false},
    {"POST", "/-/kv-lease", &WireFront::GrantLease, false},
    {"POST", "/-/kv-keep/", &WireFront::KeepLease, false},
    {"DELETE", "/-/kv-lease-end/", &WireFront::EndLease, false},
    {"GET", "/-/machines", &WireFront::ListInstances, false},
    {"POST", "/-/machine-move", &WireFront::MoveInstance, false},
    {"POST", "/-/machine-upkeep", &WireFront::MaintainInstance, false},
    {"POST", "/-/run-start", &WireFront::StartRun, true},
    {"POST", "/-/run-stop", &WireFront::StopRun, true},
    {"POST", "/-/pace", &WireFront::PaceRun, true},
    {"POST", "/-/hold", &WireFront::Hold, true}};

WireFront::WireFront(RealTime& loop,
                     const Models& models,
                     uint64_t seed,
                     JobLookup find_job,
                     Report report)
    : loop_(loop),
      models_(models),
      find_job_(std::move(find_job)),
      report_(std::move(report)),
      random_(seed),
      workers_(models_.workers.ViewOf(std::make_shared<model::ModelNode>())) {}

WireFront::~WireFront() {
  if (server_) {
    server_->Stop();
  }
}

Result<void> WireFront::Start() {
  HttpServerOptions options;
  options.threads = 2;
  auto started = HttpServer::Start(
      options,
      [this](HttpRequest request,
             const std::shared_ptr<HttpExchange>& exchange) {
        // A call without an answer ends with its connection.
        exchange->SetCloseListener(
            [weak = std::weak_ptr<HttpExchange>(exchange)] {
              if (const auto closed = weak.lock()) {
                closed->Respond({503, {}, ""});
              }
            });
        loop_.Post([this, request = std::move(request), exchange]() mutable {
          Handle({std::move(request), exchange, json()});
        });
      },
      metrics_);
  if (!started) {
    return tl::unexpected<Error>(started.error());
  }
  server_ = std::move(*started);
  return {};
}

void WireFront::AddDaemon(const std::string& host, const model::NodePtr& node) {
  daemons_[host] = {models_.store.ViewOf(node), models_.instances.ViewOf(node)};
}

void WireFront::Handle(Call call) {
  const auto route = std::find_if(
      std::begin(kRoutes), std::end(kRoutes), [&](const Route& each) {
        return call.request.method == each.method &&
               absl::StartsWith(call.request.target, each.path);
      });
  const auto daemon = daemons_.find(call.Header("host"));
  static Daemon nobody;
  if (route == std::end(kRoutes) ||
      (!route->to_worker && daemon == daemons_.end())) {
    report_(absl::StrCat("unknown call ", call.request.method, " ",
                         call.request.target, " to ", call.Header("host")));
    call.Answer(http_status::kNotFound, json::object());
    return;
  }
  call.body = wire::ReadOrNull(call.request.body);
  const Result<bool> read = wire::ReadFields<bool>("soak.call", "", [&] {
    (this->*route->handle)(call, route->to_worker ? nobody : daemon->second);
    return true;
  });
  if (!read) {
    report_(absl::StrCat("malformed call ", call.request.target, " ",
                         call.request.body, ": ", read.error().message));
    call.Answer(http_status::kBadRequest, json::object());
  }
}

void WireFront::GetKey(const Call& call, Daemon& daemon) {
  daemon.store->Get(call.Query("Key"), kStoreTimeout,
                    [call](const Result<std::optional<StoreItem>>& item) {
                      if (!item) {
                        AnswerFailure(call.exchange, item.error());
                      } else if (!*item) {
                        call.Answer(http_status::kNotFound, json::object());
                      } else {
                        call.Answer(http_status::kOk, FormatItem(**item));
                      }
                    });
}

void WireFront::GetRange(const Call& call, Daemon& daemon) {
  daemon.store->Range(call.Query("Prefix"), call.Query("After"), kStoreTimeout,
                      [call](const Result<RangePage>& page) {
                        if (!page) {
                          AnswerFailure(call.exchange, page.error());
                          return;
                        }
                        call.Answer(http_status::kOk,
                                    {{"items", FormatItems(page->items)},
                                     {"Truncated", page->truncated},
                                     {"StoreRevision", page->store_revision}});
                      });
}

void WireFront::Watch(const Call& call, Daemon& daemon) {
  const auto after = static_cast<uint64_t>(Number(call.Query("After")));
  daemon.store->Watch(
      {call.Query("Prefix"), after, milliseconds(Number(call.Query("WaitMs")))},
      [call, after](const Result<StoreChanges>& changes) {
        if (!changes) {
          AnswerFailure(call.exchange, changes.error());
        } else if (changes->history_lost) {
          call.Answer(http_status::kGone, json::object());
        } else {
          call.Answer(
              http_status::kOk,
              {{"events", FormatItems(changes->changes)},
               {"StoreRevision", std::max(after, changes->store_revision)}});
        }
      });
}

void WireFront::Commit(const Call& call, Daemon& daemon) {
  daemon.store->Commit(
      ParseTransaction(call.body), kStoreTimeout,
      [call](const Result<TransactionResult>& result) {
        if (!result) {
          AnswerFailure(call.exchange, result.error());
        } else if (result->committed) {
          call.Answer(http_status::kOk, {{"Revision", result->revision}});
        } else {
          call.Answer(http_status::kPreconditionFailed,
                      {{"items", FormatItems(result->current)}});
        }
      });
}

void WireFront::GrantLease(const Call& call, Daemon& daemon) {
  const auto ttl = milliseconds(call.body.at("TtlMs").get<int64_t>());
  daemon.store->GrantLease(
      ttl, kStoreTimeout, [call, ttl](const Result<LeaseId>& lease) {
        if (!lease) {
          AnswerFailure(call.exchange, lease.error());
          return;
        }
        call.Answer(http_status::kOk,
                    {{"Lease", *lease}, {"TtlMs", ttl.count()}});
      });
}

void WireFront::KeepLease(const Call& call, Daemon& daemon) {
  daemon.store->KeepLease(
      static_cast<LeaseId>(Number(call.Id())), kStoreTimeout,
      [call](const Result<milliseconds>& ttl) {
        if (!ttl) {
          AnswerFailure(call.exchange, ttl.error());
          return;
        }
        call.Answer(http_status::kOk, {{"TtlMs", ttl->count()}});
      });
}

void WireFront::EndLease(const Call& call, Daemon& daemon) {
  daemon.store->EndLease(
      static_cast<LeaseId>(Number(call.Id())), kStoreTimeout,
      [call](const Result<bool>& ended) {
        if (!ended) {
          AnswerFailure(call.exchange, ended.error());
          return;
        }
        call.Answer(*ended ? http_status::kOk : http_status::kNotFound,
                    json::object());
      });
}

void WireFront::ListInstances(const Call& call, Daemon& daemon) {
  daemon.instances->List([call](const Result<std::vector<Instance>>& list) {
    if (list) {
      call.Answer(http_status::kOk, FormatInstances(*list));
    }
  });
}

void WireFront::MoveInstance(const Call& call, Daemon& daemon) {
  InstanceOrder order;
  order.instance = call.body.at("Machine").get<std::string>();
  order.pool = call.body.at("Pool").get<std::string>();
  order.fence = static_cast<uint64_t>(Number(call.Header("fencing-token")));
  daemon.instances->Move(order, [call](const Result<InstanceAnswer>& answer) {
    if (answer) {
      call.exchange->Respond(FormatInstanceAnswer(*answer));
    }
  });
}

void WireFront::MaintainInstance(const Call& call, Daemon& daemon) {
  InstanceOrder order;
  order.instance = call.body.at("Machine").get<std::string>();
  order.wave = call.body.at("Wave").get<uint64_t>();
  order.fence = static_cast<uint64_t>(Number(call.Header("fencing-token")));
  daemon.instances->Maintain(
      order, [call](const Result<InstanceAnswer>& answer) {
        if (answer) {
          call.exchange->Respond(FormatInstanceAnswer(*answer));
        }
      });
}

void WireFront::StartRun(const Call& call, Daemon& /*daemon*/) {
  StartOrder order;
  order.target = call.Target();
  const auto task = call.body.at("Task").get<std::string>();
  if (!ParseTask(task, &order.task) ||
      (order.job = find_job_(order.task.job)) == nullptr ||
      call.body.at("Spec") != order.job->spec.payload) {
    report_(
        absl::StrCat("start of what no caller handed in: ", call.request.body));
    call.Answer(http_status::kBadRequest, json::object());
    return;
  }
  order.run = call.body.at("Run").get<uint32_t>();
  order.deadline = milliseconds(call.body.at("DeadlineMs").get<int64_t>());
  order.checkpoint = Optional<std::string>(call.body, "Checkpoint");
  // The address of a worker that has ended belongs to another one, or to none.
  const model::ModelWorker* worker =
      models_.workers.Find(order.target.worker.id);
  if ((worker == nullptr || !worker->alive) && random_() % 2 == 0) {
    call.Answer(kOtherLife, json::object());
    return;
  }
  workers_->Start(order, call.OrderDone());
}

void WireFront::StopRun(const Call& call, Daemon& /*daemon*/) {
  StopOrder order;
  order.target = call.Target();
  ParseTask(call.body.at("Task").get<std::string>(), &order.task);
  order.run = call.body.at("Run").get<uint32_t>();
  workers_->Stop(order, call.OrderDone());
}

void WireFront::PaceRun(const Call& call, Daemon& /*daemon*/) {
  PaceOrder order;
  order.target = call.Target();
  ParseTask(call.body.at("Task").get<std::string>(), &order.task);
  order.run = call.body.at("Run").get<uint32_t>();
  order.percent = call.body.at("Percent").get<int>();
  workers_->Pace(order, call.OrderDone());
}

void WireFront::Hold(const Call& call, Daemon& /*daemon*/) {
  HoldOrder order;
  order.target = call.Target();
  order.acknowledged = Optional<uint64_t>(call.body, "LastSeen");
  if (call.body.contains("DeadlineMs")) {
    order.deadline = milliseconds(call.body.at("DeadlineMs").get<int64_t>());
  }
  order.wait = milliseconds(Optional<int64_t>(call.body, "WaitMs"));
  workers_->Hold(order, [call](const Result<HoldResponse>& answer) {
    if (answer) {
      call.exchange->Respond(FormatHoldAnswer(*answer));
    }
  });
}

}  // namespace figflow::soak
