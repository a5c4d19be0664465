#include "StandIns/Platform/platform_server.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow::standin {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Time for running requests to finish when the stand-in stops.
constexpr milliseconds kStopGrace{2'000};
// Watches longer than this end early with no change.
constexpr milliseconds kMaxWatch{30'000};

enum class RouteKind { kRead, kWrite, kControl };

std::string Query(const ApiRequest& request, const char* name) {
  const auto it = request.query.find(name);
  return it == request.query.end() ? "" : it->second;
}

uint64_t QueryNumber(const ApiRequest& request, const char* name) {
  uint64_t number = 0;
  return absl::SimpleAtoi(Query(request, name), &number) ? number : 0;
}

json Body(const ApiRequest& request) {
  return json::parse(request.body);
}

}  // namespace

struct PlatformServer::Route {
  const char* method;
  const char* path;
  RouteKind kind;
  Answer (PlatformServer::*run)(const ApiRequest&);
};

const PlatformServer::Route* PlatformServer::FindRoute(
    const ApiRequest& request) {
  using Server = PlatformServer;
  static constexpr std::array<Route, 20> routes = {{
      {"GET", "/kv/get", RouteKind::kRead, &Server::Get},
      {"POST", "/kv/cas", RouteKind::kWrite, &Server::CompareAndSwap},
      {"POST", "/kv/delete", RouteKind::kWrite, &Server::CompareAndDelete},
      {"GET", "/kv/list", RouteKind::kRead, &Server::List},
      {"GET", "/kv/watch", RouteKind::kRead, &Server::Watch},
      {"POST", "/kv/lease/grant", RouteKind::kWrite, &Server::GrantLease},
      {"POST", "/kv/lease/keepalive", RouteKind::kWrite,
       &Server::KeepLeaseAlive},
      {"GET", "/fleet/instances", RouteKind::kRead, &Server::ListInstances},
      {"POST", "/fleet/reboot", RouteKind::kWrite, &Server::Reboot},
      {"POST", "/fleet/tasks/start", RouteKind::kWrite, &Server::StartTask},
      {"POST", "/fleet/tasks/renew", RouteKind::kWrite, &Server::RenewTask},
      {"POST", "/fleet/tasks/throttle", RouteKind::kWrite,
       &Server::ThrottleTask},
      {"POST", "/fleet/tasks/checkpoint", RouteKind::kWrite,
       &Server::CheckpointTask},
      {"POST", "/fleet/tasks/stop", RouteKind::kWrite, &Server::StopTask},
      {"GET", "/fleet/tasks", RouteKind::kRead, &Server::ListTasks},
      {"POST", "/standin/fault", RouteKind::kControl, &Server::SetFault},
      {"POST", "/standin/instance", RouteKind::kControl, &Server::SetInstance},
      {"POST", "/standin/snapshot", RouteKind::kControl, &Server::Snapshot},
      {"POST", "/standin/restore", RouteKind::kControl, &Server::Restore},
      {"GET", "/standin/state", RouteKind::kControl, &Server::State},
  }};
  for (const Route& route : routes) {
    if (request.path == route.path && request.method == route.method) {
      return &route;
    }
  }
  return nullptr;
}

PlatformServer::PlatformServer(const StandinSettings& settings,
                               const Clock& clock)
    : settings_(settings),
      clock_(clock),
      store_(clock),
      fleet_(settings, clock),
      writes_(settings.writes_per_second, clock.Now()),
      reads_(settings.reads_per_second, clock.Now()),
      listener_([this](const ApiRequest& request) { return Handle(request); }) {
}

Result<void> PlatformServer::Start() {
  return listener_.Start(settings_.listen);
}

void PlatformServer::Stop() {
  store_.Stop();
  listener_.Stop(kStopGrace);
}

std::optional<Answer> PlatformServer::Handle(const ApiRequest& request) {
  const Route* route = FindRoute(request);
  if (route == nullptr) {
    return Refusal(
        400, absl::StrCat("unknown call ", request.method, " ", request.path));
  }
  return route->kind == RouteKind::kControl ? Run(*route, request)
                                            : HandleCall(*route, request);
}

std::optional<Answer> PlatformServer::HandleCall(const Route& route,
                                                 const ApiRequest& request) {
  {
    absl::MutexLock lock(&mutex_);
    ++calls_[route.path];
  }
  const bool write = route.kind == RouteKind::kWrite;
  const Faults faults = faults_.Current();
  if (faults.slow_ms > 0) {
    std::this_thread::sleep_for(milliseconds(faults.slow_ms));
  }
  if (faults.unreachable || (write && faults_.TakeLostRequest())) {
    return std::nullopt;
  }
  if (faults.down) {
    return Refusal(503, "the platform is out of service");
  }
  if (!(write ? writes_ : reads_).Admit(clock_.Now())) {
    return Refusal(429, "too many calls");
  }
  Answer answer = Run(route, request);
  if (write && answer.status == 200 && faults_.TakeLostAnswer()) {
    return std::nullopt;
  }
  return answer;
}

Answer PlatformServer::Run(const Route& route, const ApiRequest& request) {
  try {
    return (this->*route.run)(request);
  } catch (const json::exception& error) {
    return Refusal(400, error.what());
  }
}

Answer PlatformServer::Get(const ApiRequest& request) {
  return store_.Get(Query(request, "key"));
}

Answer PlatformServer::CompareAndSwap(const ApiRequest& request) {
  return store_.CompareAndSwap(Body(request));
}

Answer PlatformServer::CompareAndDelete(const ApiRequest& request) {
  return store_.CompareAndDelete(Body(request));
}

Answer PlatformServer::List(const ApiRequest& request) {
  return store_.List(Query(request, "prefix"));
}

Answer PlatformServer::Watch(const ApiRequest& request) {
  const milliseconds wait(QueryNumber(request, "wait_ms"));
  return store_.Watch(Query(request, "prefix"), QueryNumber(request, "after"),
                      std::min(wait, kMaxWatch));
}

Answer PlatformServer::GrantLease(const ApiRequest& request) {
  return store_.GrantLease(Body(request));
}

Answer PlatformServer::KeepLeaseAlive(const ApiRequest& request) {
  return store_.KeepLeaseAlive(Body(request));
}

Answer PlatformServer::ListInstances(const ApiRequest& request) {
  return fleet_.ListInstances(Query(request, "data_centre"),
                              faults_.ListFrozenAt());
}

Answer PlatformServer::Reboot(const ApiRequest& request) {
  return fleet_.Reboot(Body(request));
}

Answer PlatformServer::StartTask(const ApiRequest& request) {
  return fleet_.StartTask(Body(request));
}

Answer PlatformServer::RenewTask(const ApiRequest& request) {
  return fleet_.ActOnTask(TaskAction::kRenew, Body(request));
}

Answer PlatformServer::ThrottleTask(const ApiRequest& request) {
  return fleet_.ActOnTask(TaskAction::kThrottle, Body(request));
}

Answer PlatformServer::CheckpointTask(const ApiRequest& request) {
  return fleet_.ActOnTask(TaskAction::kCheckpoint, Body(request));
}

Answer PlatformServer::StopTask(const ApiRequest& request) {
  return fleet_.ActOnTask(TaskAction::kStop, Body(request));
}

Answer PlatformServer::ListTasks(const ApiRequest& request) {
  return fleet_.ListTasks(Query(request, "data_centre"));
}

Answer PlatformServer::SetFault(const ApiRequest& request) {
  const Result<void> set = faults_.Set(Body(request), clock_.Now());
  return set ? Answer{200, faults_.ToJson()}
             : Refusal(400, set.error().message);
}

Answer PlatformServer::SetInstance(const ApiRequest& request) {
  return fleet_.SetInstance(Body(request));
}

Answer PlatformServer::Snapshot(const ApiRequest& /*request*/) {
  json snapshot = store_.Snapshot();
  absl::MutexLock lock(&mutex_);
  snapshot_ = snapshot;
  return Answer{200, std::move(snapshot)};
}

// With an empty body restores the last snapshot taken.
Answer PlatformServer::Restore(const ApiRequest& request) {
  if (!request.body.empty()) {
    return store_.Restore(Body(request));
  }
  json snapshot;
  {
    absl::MutexLock lock(&mutex_);
    snapshot = snapshot_;
  }
  return store_.Restore(snapshot);
}

Answer PlatformServer::State(const ApiRequest& /*request*/) {
  json calls;
  {
    absl::MutexLock lock(&mutex_);
    calls = calls_;
  }
  return Answer{200,
                {{"calls", std::move(calls)},
                 {"reboots", fleet_.Reboots()},
                 {"faults", faults_.ToJson()}}};
}

}  // namespace figflow::standin
