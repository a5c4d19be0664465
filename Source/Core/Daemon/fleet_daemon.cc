#include "Daemon/fleet_daemon.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <random>
#include <string>
#include <thread>
#include <tuple>
#include <utility>

#include "Common/log.h"
#include "Common/metrics.h"
#include "Fleet/call_router.h"
#include "Fleet/fleet_engine.h"
#include "Fleet/step_thread.h"
#include "Http/connection_limits.h"
#include "Http/connection_monitor.h"
#include "Http/http_client.h"
#include "Http/http_server.h"
#include "Http/http_status.h"
#include "absl/strings/str_cat.h"
#include "wire_adapter.h"

namespace figflow {
namespace {

// Watches, reads, commits of several pools and the lease.
constexpr int kStoreConnections = 24;
// A worker is called at least this often while it runs anything.
constexpr std::chrono::seconds kIdleConnection{60};
constexpr size_t kProbeConnections = 32;
constexpr size_t kPeerConnections = 512;
// What an address without limits of the plan allows. Longer than a caller or
// peer takes: calls have a deadline of some seconds.
constexpr ArrivalLimits kDefaultArrival{std::chrono::seconds(10),
                                        std::chrono::seconds(90)};
// The balancer probes each second and acts on the second miss.
constexpr std::chrono::milliseconds kBalancerNotices{2'100};
constexpr std::chrono::milliseconds kStopPoll{20};
// Part of the grace that is left for the end of the threads.
constexpr std::chrono::milliseconds kStopReserve{1'200};
// Time for answers that the drain left.
constexpr std::chrono::milliseconds kLastAnswers{500};
// A hand-over is two writes.
constexpr std::chrono::milliseconds kHandOverBound{2'500};

// Of the callers' address in the log.
constexpr char kCallers[] = "callers";

// Text that no other process of the fleet uses.
std::string NewProcessId(const std::string& entry) {
  std::random_device random;
  return absl::StrCat(entry, "~", absl::Hex(random(), absl::kZeroPad8),
                      absl::Hex(random(), absl::kZeroPad8));
}

HttpClientOptions FleetClientOptions(const Settings& settings) {
  HttpClientOptions options;
  options.threads = 1;
  // A hold takes one of them for most of the time; orders are answered within
  // milliseconds.
  options.connections_per_address =
      static_cast<int>(settings.worker_connections);
  options.idle_timeout = kIdleConnection;
  return options;
}

std::chrono::milliseconds ToMilliseconds(double seconds) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
}

ExecutionBounds BoundsOf(const Settings& settings) {
  ExecutionBounds bounds;
  bounds.max_lease = settings.max_lease;
  bounds.max_record_bytes = static_cast<size_t>(settings.max_value_bytes);
  bounds.stop_time = settings.stop_time;
  bounds.gang_wait = settings.gang_wait;
  bounds.status_retention = ToMilliseconds(settings.status_retention_s);
  bounds.early_start = settings.early_start;
  bounds.unavailable_notice = settings.unavailable_notice;
  bounds.harm_time = settings.harm_time;
  bounds.plan_apply = settings.plan_apply;
  bounds.plan_rollback_slack = settings.plan_rollback_slack;
  bounds.far_factor = settings.far_factor;
  bounds.key_withdrawal = settings.key_withdrawal;
  bounds.cap_overage = settings.cap_overage;
  bounds.submission_window = ToMilliseconds(settings.submission_window_s);
  bounds.submission_burst = static_cast<int>(settings.submission_burst);
  bounds.fair_shares = settings.fair_shares == 1;
  return bounds;
}

FleetEngineOptions EngineOptions(const Settings& settings) {
  FleetEngineOptions options;
  options.entry = settings.entry;
  options.peer_address = settings.peer_listen.ToString();
  options.process_id = NewProcessId(settings.entry);
  options.millicores =
      static_cast<int64_t>(std::lround(settings.processor_cores * 1'000));
  options.bounds = BoundsOf(settings);
  // A quarter of the memory, beside two fifths for buffers of connections.
  options.work_memory = (static_cast<size_t>(settings.memory_mb) << 20) / 4;
  options.instances.holder_interval = settings.holder_interval;
  options.instances.move_duration = ToMilliseconds(settings.instance_move_s);
  options.instances.maintenance_duration =
      ToMilliseconds(settings.instance_maintenance_s);
  return options;
}

uint64_t MostDescriptors() {
  rlimit limit{};
  // Without an answer, the least that systems give.
  return getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : 1'024;
}

ConnectionLimits LimitsOf(const Settings& settings) {
  return ConnectionLimitsFor(
      {settings.memory_mb, MostDescriptors(),
       static_cast<size_t>(settings.max_open_requests), kPeerConnections},
      BytesPerConnection(RequestLimits().max_header_bytes));
}

RequestLimits DefaultLimits(const Settings& settings) {
  RequestLimits limits;
  limits.max_body_bytes = static_cast<size_t>(settings.max_body_bytes);
  limits.arrival = kDefaultArrival;
  return limits;
}

// The plan's limits where it sets them and they are the lower ones.
RequestLimits LimitsOfPlan(const Settings& settings, const CallLimits& plan) {
  RequestLimits limits = DefaultLimits(settings);
  const auto lower = [](size_t* limit, int64_t of_plan) {
    if (of_plan > 0) {
      *limit = std::min(*limit, static_cast<size_t>(of_plan));
    }
  };
  lower(&limits.max_body_bytes, plan.max_body_bytes);
  lower(&limits.max_header_bytes, plan.max_header_bytes);
  if (plan.header_timeout.count() > 0) {
    limits.arrival.header = plan.header_timeout;
  }
  if (plan.idle_timeout.count() > 0) {
    limits.arrival.idle = plan.idle_timeout;
  }
  return limits;
}

std::string LogLossMetrics() {
  const LogLosses losses = GetLogLosses();
  return absl::StrCat("# TYPE figflow_log_lines_lost_total counter\n",
                      "figflow_log_lines_lost_total{cause=\"rate\"} ",
                      losses.omitted, "\n",
                      "figflow_log_lines_lost_total{cause=\"full-output\"} ",
                      losses.dropped, "\n");
}

}  // namespace

// Declared in the order of construction: each part uses only earlier ones.
struct FleetDaemon::Parts {
  Parts(const Settings& settings, const Clock& clock);

  MetricsRegistry metrics;
  const ConnectionLimits limits;
  ConnectionMonitor monitor;
  std::unique_ptr<HttpClient> client;
  std::unique_ptr<PlatformAdapter> platform;
  FleetEngine engine;
  CallRouter router;
  StepThread thread;
  std::atomic<bool> stopping{false};
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<HttpServer> metrics_server;
  std::unique_ptr<HttpServer> peer_server;
  std::unique_ptr<HttpServer> caller_server;
  // Whose limits hold for callers. On the thread of the steps.
  std::shared_ptr<const FleetPlan> limiting_plan;
};

FleetDaemon::Parts::Parts(const Settings& settings, const Clock& clock)
    : limits(LimitsOf(settings)),
      monitor(limits.budget, metrics),
      client(
          std::make_unique<HttpClient>(FleetClientOptions(settings), metrics)),
      platform(wire::MakeAdapter(
          {settings.platform_address.ToString(), settings.instances_address,
           settings.policy_address},
          *client,
          clock,
          metrics)),
      engine(*platform, clock, metrics, EngineOptions(settings)),
      router(engine, *platform, *client, clock, metrics),
      thread(clock, [this, settings](MonoTime now) {
        const MonoTime next = engine.Step(now);
        const std::shared_ptr<const FleetPlan> plan = engine.plan();
        if (plan != limiting_plan) {
          limiting_plan = plan;
          caller_server->SetLimits(LimitsOfPlan(
              settings, plan == nullptr ? CallLimits() : plan->call_limits));
        }
        return next;
      }) {
  engine.SetWakeCallback([this](MonoTime at) { thread.WakeAt(at); });
  engine.SetLagProbe([this] { return client->TakeLag(); });
  engine.SetSyncPool([this](const std::string& pool, const WorkerOrders& orders,
                            std::function<void(Result<PoolReport>)> done) {
    router.SyncPool(pool, orders, std::move(done));
  });
  client->SetConnectionLimit(settings.platform_address.ToString(),
                             kStoreConnections);
}

FleetDaemon::FleetDaemon(Settings settings, const Clock& clock)
    : settings_(std::move(settings)), clock_(clock) {}

FleetDaemon::~FleetDaemon() = default;

Result<void> FleetDaemon::Start() {
  parts_ = std::make_unique<Parts>(settings_, clock_);
  if (Result<void> listening = Listen(); !listening) {
    return listening;
  }
  parts_->engine.Start();
  parts_->thread.Start();
  LogEvent(LogLevel::kInfo, LogCategory::kDaemon, "started",
           {{"entry", settings_.entry},
            {"data_centre", settings_.data_centre},
            {"callers", settings_.caller_listen.ToString()},
            {"connections", absl::StrCat(parts_->limits.callers)},
            {"buffer_mb", absl::StrCat(parts_->limits.budget >> 20)},
            {"peers", settings_.peer_listen.ToString()}});
  return {};
}

Result<void> FleetDaemon::Listen() {
  Parts& parts = *parts_;
  const auto listen = [&](const char* name, const std::string& address,
                          size_t connections, HttpHandler handler,
                          std::unique_ptr<HttpServer>* server) -> Result<void> {
    HttpServerOptions options;
    options.address = address;
    options.threads = 1;
    options.max_connections = static_cast<unsigned>(connections);
    options.limits = DefaultLimits(settings_);
    options.monitor = &parts.monitor;
    options.name = name;
    if (name == kCallers) {
      options.receive_buffer_bytes = kReceiveBufferBytes;
    }
    // The users' platform takes 503 as a refusal for good.
    options.stopped_status = http_status::kGatewayTimeout;
    Result<std::unique_ptr<HttpServer>> started =
        HttpServer::Start(options, std::move(handler), parts.metrics);
    if (!started) {
      return tl::unexpected<Error>(started.error());
    }
    *server = std::move(*started);
    return {};
  };
  const auto on_admin = [&parts](
                            const HttpRequest& request,
                            const std::shared_ptr<HttpExchange>& exchange) {
    const bool ready = !parts.stopping && parts.engine.plan() != nullptr;
    exchange->Respond(parts.platform->AnswerProbe(request, ready));
  };
  const auto on_metrics = [&parts](
                              const HttpRequest& request,
                              const std::shared_ptr<HttpExchange>& exchange) {
    if (request.target == "/metrics") {
      exchange->Respond({200,
                         {{"Content-Type", "text/plain; version=0.0.4"}},
                         parts.metrics.Expose() + LogLossMetrics()});
    } else if (request.target == "/state") {
      exchange->Respond({200,
                         {{"Content-Type", "application/json"}},
                         parts.engine.DumpState().dump(2) + "\n"});
    } else {
      exchange->Respond({404, {}, ""});
    }
  };
  Result<void> started =
      listen("admin", settings_.admin_listen.ToString(), kProbeConnections,
             on_admin, &parts.admin_server);
  if (started && !settings_.metrics_listen.empty()) {
    started = listen("metrics", settings_.metrics_listen, kProbeConnections,
                     on_metrics, &parts.metrics_server);
  }
  if (started) {
    started = listen(
        "peers", settings_.peer_listen.ToString(), parts.limits.peers,
        [&parts](const HttpRequest& request,
                 const std::shared_ptr<HttpExchange>& exchange) {
          parts.router.HandlePeer(request, exchange);
        },
        &parts.peer_server);
  }
  if (started) {
    started = listen(
        kCallers, settings_.caller_listen.ToString(), parts.limits.callers,
        [&parts](const HttpRequest& request,
                 const std::shared_ptr<HttpExchange>& exchange) {
          parts.router.Handle(request, exchange);
        },
        &parts.caller_server);
  }
  return started;
}

void FleetDaemon::Reload(const Settings& settings) {
  const auto fixed = [](const Settings& of) {
    return std::tie(of.entry, of.data_centre, of.caller_listen, of.admin_listen,
                    of.peer_listen, of.metrics_listen, of.platform_kind,
                    of.platform_address, of.instances_address,
                    of.policy_address, of.worker_connections,
                    of.max_open_requests, of.memory_mb, of.max_body_bytes,
                    of.holder_interval, of.instance_move_s,
                    of.instance_maintenance_s);
  };
  const bool needs_restart = fixed(settings) != fixed(settings_);
  settings_.stop_grace_s = settings.stop_grace_s;
  parts_->engine.SetBounds(BoundsOf(settings));
  LogEvent(LogLevel::kInfo, LogCategory::kDaemon, "settings_reloaded",
           {{"entry", settings_.entry},
            {"needs_restart", needs_restart ? "yes" : "no"}});
}

void FleetDaemon::Stop() {
  if (!parts_) {
    return;
  }
  Parts& parts = *parts_;
  LogEvent(LogLevel::kInfo, LogCategory::kDaemon, "stopping",
           {{"in_flight", absl::StrCat(parts.caller_server->InFlight())}});
  const MonoTime begun = clock_.Now();
  const auto left = [&] {
    const auto until =
        begun + ToMilliseconds(settings_.stop_grace_s) - kStopReserve;
    return std::max(std::chrono::milliseconds(0),
                    WholeMilliseconds(until - clock_.Now()));
  };
  parts.stopping = true;
  // Calls are taken and passed on while the pools change hands, and until the
  // balancer has noticed that this daemon takes no more connections.
  parts.engine.BeginRelease();
  const auto waits = [&] {
    const auto passed = clock_.Now() - begun;
    return passed < kBalancerNotices ||
           (passed < kHandOverBound && !parts.engine.AllScopesReleased());
  };
  while (left().count() > 0 && waits()) {
    std::this_thread::sleep_for(kStopPoll);
  }
  parts.caller_server->StopAccepting();
  parts.caller_server->WaitIdle(left());
  parts.peer_server->StopAccepting();
  parts.peer_server->WaitIdle(std::min(kLastAnswers, left()));
  parts.thread.Stop();
  parts.engine.Stop();
  parts.caller_server->Stop();
  parts.peer_server->Stop();
  parts.client.reset();
  parts.admin_server->Stop();
  const auto taken = WholeMilliseconds(clock_.Now() - begun);
  LogEvent(LogLevel::kInfo, LogCategory::kDaemon, "stopped",
           {{"ms", absl::StrCat(taken.count())}});
}

}  // namespace figflow
