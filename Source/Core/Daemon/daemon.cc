#include "Daemon/daemon.h"

#include <string>
#include <utility>

#include "Admin/admin_router.h"
#include "Budget/budget_store.h"
#include "Common/log.h"
#include "Common/metrics.h"
#include "Daemon/admin_service.h"
#include "Daemon/budget_keeper.h"
#include "Daemon/control_loop.h"
#include "Daemon/job_driver.h"
#include "Daemon/maintenance_driver.h"
#include "Daemon/peer_bridge.h"
#include "Daemon/project_map.h"
#include "Daemon/target_traffic.h"
#include "Daemon/task_queue.h"
#include "FleetConfig/config_store.h"
#include "Http/http_client.h"
#include "Http/http_server.h"
#include "Idempotency/signed_ticket_book.h"
#include "Idempotency/store_claim_registry.h"
#include "Peer/peer_node.h"
#include "Platform/http_fleet_service.h"
#include "Platform/http_key_value_store.h"
#include "Pools/data_centre_store.h"
#include "Pools/pools_controller.h"
#include "Requests/request_service.h"
#include "Routing/sharded_dispatcher.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr unsigned kAdminConnections = 64;
constexpr int kAdminThreads = 2;
constexpr size_t kAdminQueue = 64;
// Time to give the share back at a stop. It is a few calls of the store; if it
// is down, the share is reused after the request bound.
constexpr std::chrono::seconds kReleaseBound{3};
// Peers learn of the stop by the next digest, one gossip round later.
constexpr std::chrono::seconds kPeerGrace{2};

uint64_t NewIncarnation(const Clock& clock) {
  return static_cast<uint64_t>(SinceEpoch(clock.WallNow()).count());
}

// Name of this process in durable documents, unique among processes.
std::string WriterOf(const Settings& settings, uint64_t incarnation) {
  return absl::StrCat(settings.entry, "/", incarnation);
}

PeerNodeSettings PeerSettings(const Settings& settings, uint64_t incarnation) {
  PeerNodeSettings peer;
  peer.entry = EntryId(settings.entry);
  peer.incarnation = incarnation;
  peer.data_centre = DataCentreId(settings.data_centre);
  for (const SocketAddress& seed : settings.peer_seeds) {
    peer.seeds.push_back(seed.ToString());
  }
  peer.transport.listen_address = settings.peer_listen.ToString();
  peer.transport.credential = settings.shared_credential;
  return peer;
}

HttpClientOptions ClientOptions(const Settings& settings) {
  HttpClientOptions options;
  options.threads = static_cast<unsigned>(settings.target_threads);
  return options;
}

RoutingOptions DispatcherOptions(const Settings& settings) {
  RoutingOptions options;
  options.queue_capacity.fill(static_cast<size_t>(settings.max_queue));
  return options;
}

PoolsOptions ControllerOptions(const Settings& settings, uint64_t incarnation) {
  PoolsOptions options;
  options.self = EntryId(settings.entry);
  options.incarnation = incarnation;
  options.request_bound = RequestBound(settings);
  return options;
}

ControlOptions LoopOptions(const Settings& settings) {
  ControlOptions options;
  options.data_centre = DataCentreId(settings.data_centre);
  options.interval = settings.control_interval;
  options.call_timeout = settings.platform_timeout;
  options.watch_wait = settings.watch_wait;
  return options;
}

MaintenanceOptions OperationOptions(const Settings& settings,
                                    uint64_t incarnation) {
  MaintenanceOptions options;
  options.data_centre = DataCentreId(settings.data_centre);
  options.writer = WriterOf(settings, incarnation);
  options.drain_timeout = settings.instance_drain_timeout;
  options.reboot_timeout = settings.reboot_timeout;
  options.request_bound = RequestBound(settings);
  options.call_timeout = settings.platform_timeout;
  return options;
}

JobDriverOptions PlacingOptions(const Settings& settings,
                                uint64_t incarnation) {
  JobDriverOptions options;
  options.data_centre = DataCentreId(settings.data_centre);
  options.writer = WriterOf(settings, incarnation);
  options.call_timeout = settings.platform_timeout;
  return options;
}

ClaimOptions KeyClaimOptions(const Settings& settings, uint64_t incarnation) {
  ClaimOptions options;
  options.entry = EntryId(settings.entry);
  options.incarnation = incarnation;
  options.retention = std::chrono::duration_cast<std::chrono::seconds>(
      settings.claim_retention);
  options.call_timeout = settings.platform_timeout;
  return options;
}

TicketOptions BookOptions(const Settings& settings, uint64_t incarnation) {
  TicketOptions options;
  options.entry = EntryId(settings.entry);
  options.incarnation = incarnation;
  options.credential = settings.shared_credential;
  options.lifetime = settings.ticket_lifetime;
  return options;
}

RequestServiceOptions ServiceOptions(const Settings& settings) {
  RequestServiceOptions options;
  options.data_centre = DataCentreId(settings.data_centre);
  options.default_deadline = settings.default_deadline;
  options.max_deadline = settings.max_deadline;
  options.max_answer_bytes = static_cast<size_t>(settings.max_answer_bytes);
  return options;
}

ConfigStoreOptions FollowOptions(const Settings& settings) {
  ConfigStoreOptions options;
  options.bootstrap.expected_peers = settings.peer_seeds.size();
  options.watch_wait = settings.watch_wait;
  return options;
}

}  // namespace

// Declared in the order of construction: each part uses only earlier ones.
struct Daemon::Parts {
  Parts(const Settings& settings, const Clock& clock, uint64_t incarnation);

  MetricsRegistry metrics;
  PlatformClient platform;
  HttpKeyValueStore store;
  HttpFleetService fleet;
  ConfigStore config;
  ShardedDispatcher dispatcher;
  // Destroyed by Stop: the request service must outlive its threads.
  std::unique_ptr<HttpClient> client;
  TargetTraffic traffic;
  DataCentreStore data_centre;
  PoolsController pools;
  BudgetStore budgets;
  ControlLoop control;
  BudgetKeeper budget_keeper;
  MaintenanceDriver maintenance;
  JobDriver jobs;
  PeerBridge bridge;
  PeerNode peers;
  SignedTicketBook tickets;
  // As `client`.
  std::unique_ptr<StoreClaimRegistry> claims;
  ProjectMap projects;
  RequestService requests;
  AdminService admin;
  AdminRouter router;
  TaskQueue admin_tasks;
  std::unique_ptr<HttpServer> admin_server;
  std::unique_ptr<HttpServer> caller_server;
};

Daemon::Parts::Parts(const Settings& settings,
                     const Clock& clock,
                     uint64_t incarnation)
    : platform(settings.platform_address.ToString(), metrics),
      store(platform),
      fleet(platform),
      config(store, clock, metrics, FollowOptions(settings)),
      dispatcher(DispatcherOptions(settings), metrics),
      client(std::make_unique<HttpClient>(ClientOptions(settings), metrics)),
      traffic(dispatcher, *client),
      data_centre(store,
                  DataCentreId(settings.data_centre),
                  WriterOf(settings, incarnation),
                  settings.platform_timeout),
      pools(data_centre, traffic, ControllerOptions(settings, incarnation)),
      budgets(store,
              WriterOf(settings, incarnation),
              settings.platform_timeout),
      control({clock, config, data_centre, pools, dispatcher, fleet, metrics},
              LoopOptions(settings)),
      budget_keeper(budgets,
                    data_centre,
                    metrics,
                    EntryId(settings.entry),
                    incarnation),
      maintenance({store, data_centre, budgets, fleet},
                  OperationOptions(settings, incarnation),
                  settings.watch_wait),
      jobs({clock, store, fleet, config, data_centre, budgets, metrics},
           PlacingOptions(settings, incarnation)),
      bridge(
          {EntryId(settings.entry), incarnation,
           DataCentreId(settings.data_centre), settings.peer_listen.ToString()},
          clock,
          dispatcher,
          config),
      peers(PeerSettings(settings, incarnation), &bridge, &clock, &metrics),
      tickets(BookOptions(settings, incarnation)),
      claims(std::make_unique<StoreClaimRegistry>(
          KeyClaimOptions(settings, incarnation),
          store,
          clock,
          metrics)),
      requests(ServiceOptions(settings),
               {clock, dispatcher, *client, peers, tickets, *claims, projects,
                metrics}),
      admin({clock, metrics, store, config, data_centre, budgets, jobs.jobs(),
             control, dispatcher, peers, bridge},
            settings.platform_timeout),
      router(admin, settings.operator_credential),
      admin_tasks(kAdminThreads, kAdminQueue) {}

Daemon::Daemon(Settings settings, const Clock& clock)
    : settings_(std::move(settings)), clock_(clock) {}

Daemon::~Daemon() = default;

Result<void> Daemon::Start() {
  const uint64_t incarnation = NewIncarnation(clock_);
  parts_ = std::make_unique<Parts>(settings_, clock_, incarnation);
  Connect();

  // All listeners are bound before this daemon joins its data centre's
  // members: a second daemon started by mistake on the same instance fails
  // here and takes over no share of the first.
  Result<void> listening = ListenForCallers();
  if (listening) {
    listening = ListenForOperators();
  }
  if (listening) {
    listening = parts_->peers.Start();
  }
  if (!listening) {
    return listening;
  }
  parts_->config.Start();
  parts_->maintenance.Start();
  parts_->jobs.Start();
  parts_->control.Start();
  LogEvent(LogLevel::kInfo, LogCategory::kDaemon, "started",
           {{"entry", settings_.entry},
            {"incarnation", absl::StrCat(incarnation)},
            {"data_centre", settings_.data_centre}});
  return {};
}

void Daemon::Connect() {
  Parts& parts = *parts_;
  parts.config.SetPeers(&parts.peers);
  parts.config.SetOnChange([&parts, this] {
    parts.projects.Update(*parts.config.InForce(),
                          DataCentreId(settings_.data_centre));
    parts.control.Wake();
  });
  parts.bridge.SetRequests(&parts.requests);
  parts.control.AddStep(
      [&parts](const ControlRound& round) { parts.budget_keeper.Step(round); });
  parts.control.AddStep(
      [&parts](const ControlRound& round) { parts.maintenance.Step(round); });
  parts.admin.AddDump("config", [&parts] { return parts.config.DumpState(); });
  parts.admin.AddDump("maintenance",
                      [&parts] { return parts.maintenance.DumpState(); });
  parts.admin.AddDump("jobs", [&parts] { return parts.jobs.DumpState(); });
  parts.admin.AddDump("routing", [&parts] { return parts.dispatcher.Dump(); });
}

Result<void> Daemon::ListenForCallers() {
  HttpServerOptions options;
  options.address = settings_.caller_listen.ToString();
  options.threads = static_cast<unsigned>(settings_.caller_threads);
  options.max_connections = static_cast<unsigned>(settings_.max_open_requests);
  options.limits.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes);
  const auto handle = [this](HttpRequest request,
                             const std::shared_ptr<HttpExchange>& exchange) {
    parts_->requests.Handle(std::move(request), exchange);
  };
  Result<std::unique_ptr<HttpServer>> server =
      HttpServer::Start(options, handle, parts_->metrics);
  if (!server) {
    return tl::unexpected<Error>(server.error());
  }
  parts_->caller_server = std::move(*server);
  return {};
}

Result<void> Daemon::ListenForOperators() {
  HttpServerOptions options;
  options.address = settings_.admin_listen.ToString();
  options.threads = 1;
  options.max_connections = kAdminConnections;
  options.limits.max_body_bytes = kMaxUploadBytes;
  // Operations block on the store, so they do not run on the server's threads.
  const auto handle = [this](HttpRequest request,
                             const std::shared_ptr<HttpExchange>& exchange) {
    auto task = [this, request = std::move(request), exchange] {
      exchange->Respond(parts_->router.Handle(request));
    };
    if (!parts_->admin_tasks.Post(std::move(task))) {
      exchange->Respond(HttpResponse{503, {}, "too many requests\n"});
    }
  };
  Result<std::unique_ptr<HttpServer>> server =
      HttpServer::Start(options, handle, parts_->metrics);
  if (!server) {
    return tl::unexpected<Error>(server.error());
  }
  parts_->admin_server = std::move(*server);
  return {};
}

bool Daemon::superseded() const {
  return parts_ && parts_->peers.superseded();
}

void Daemon::Stop() {
  if (!parts_) {
    return;
  }
  Parts& parts = *parts_;
  LogEvent(LogLevel::kInfo, LogCategory::kDaemon, "stopping",
           {{"in_flight", absl::StrCat(parts.requests.InFlight())}});
  parts.admin.SetStopping();
  parts.bridge.SetStopping();
  parts.caller_server->StopAccepting();
  parts.requests.Stop(settings_.drain_timeout);
  parts.caller_server->WaitIdle(std::chrono::seconds(1));
  parts.caller_server->Stop();
  parts.peers.Stop(kPeerGrace);

  parts.dispatcher.Stop(clock_.Now());
  const bool released = parts.control.Release(kReleaseBound);
  parts.platform.CancelReads();
  parts.maintenance.Stop();
  parts.jobs.Stop();
  parts.control.Stop();
  parts.config.Stop();
  parts.admin_server->Stop();
  parts.client.reset();
  parts.claims.reset();
  LogEvent(LogLevel::kInfo, LogCategory::kDaemon, "stopped",
           {{"share_released", released ? "yes" : "no"}});
}

}  // namespace figflow
