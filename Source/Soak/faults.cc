#include "Soak/faults.h"

#include <algorithm>
#include <utility>

#include "Ownership/owner_record.h"
#include "Soak/wire_format.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace figflow::soak {
namespace {

using std::chrono::milliseconds;

// From the start of a process until it serves.
constexpr milliseconds kStartTime{1'500};
// Orders that are carried out late arrive up to this long afterwards.
constexpr milliseconds kLatestOrder{12'000};
constexpr milliseconds kLatestWrite{6'000};
// A stop does not disturb: callers may rely on whole answers.
constexpr milliseconds kNoDisturbance{0};
// The links of all daemons to the store are reset within this time.
constexpr milliseconds kResetSpread{15};

// Daemons whose watches of the registry get no response at once.
constexpr int kMaxSilentDaemons = 6;

}  // namespace

const FaultInjector::Kind FaultInjector::kKinds[] = {
    {"stop", 6, true, &FaultInjector::StopOne},
    {"stop-several", 2, true, &FaultInjector::StopSeveral},
    {"reload", 3, true, &FaultInjector::ReloadSettings},
    {"plan", 2, true, &FaultInjector::ChangePlan},
    {"kill", 6, false, &FaultInjector::KillOne},
    {"kill-series", 2, false, &FaultInjector::KillSeries},
    {"kill-all", 1, false, &FaultInjector::KillAll},
    {"pause", 5, false, &FaultInjector::PauseOne},
    {"pause-and-stop", 2, false, &FaultInjector::PauseAndStop},
    {"store-link-delay", 2, false, &FaultInjector::DelayStoreLink},
    {"store-link-reset", 2, false, &FaultInjector::ResetStoreLink},
    {"store-link-silence", 2, false, &FaultInjector::SilenceStoreLink},
    {"store-link-cut", 3, false, &FaultInjector::CutStoreLink},
    {"store-link-one-way", 2, false, &FaultInjector::CutStoreLinkOneWay},
    {"worker-link-delay", 2, false, &FaultInjector::DelayWorkerLink},
    {"worker-link-reset", 2, false, &FaultInjector::ResetWorkerLink},
    {"worker-link-silence", 2, false, &FaultInjector::SilenceWorkerLink},
    {"worker-link-cut", 3, false, &FaultInjector::CutWorkerLink},
    {"worker-link-one-way", 2, false, &FaultInjector::CutWorkerLinkOneWay},
    {"store-slow", 2, false, &FaultInjector::SlowStore},
    {"store-silent", 2, false, &FaultInjector::SilentStore},
    {"store-lost-writes", 3, false, &FaultInjector::LostWrites},
    {"store-history", 1, false, &FaultInjector::ForgetHistory},
    {"store-watches", 1, false, &FaultInjector::SwallowWatches},
    {"store-turns-away", 2, false, &FaultInjector::TurnAwayDaemon},
    {"store-answers", 2, false, &FaultInjector::LoseDaemonsAnswers},
    {"worker-crash", 4, false, &FaultInjector::CrashWorker},
    {"worker-answers", 2, false, &FaultInjector::LoseWorkerAnswers},
    {"worker-late-orders", 2, false, &FaultInjector::LateOrders},
    {"worker-sick", 1, false, &FaultInjector::SickWorker},
    {"maintenance", 1, false, &FaultInjector::RequestMaintenance},
    {"store-reset-all", 30, false, &FaultInjector::ResetAllStoreLinks, true},
    {"controller-lost", 15, false, &FaultInjector::LoseController, true}};

FaultInjector::FaultInjector(FaultTargets targets,
                             Duration mean_gap,
                             uint64_t seed)
    : targets_(std::move(targets)),
      mean_gap_(mean_gap),
      usual_latency_(targets_.models.store.faults.latency),
      random_(seed) {}

int FaultInjector::Random(int low, int high) {
  return std::uniform_int_distribution<int>(low, high)(random_);
}

void FaultInjector::StartPlanned() {
  running_ = true;
  ScheduleNext();
}

void FaultInjector::StartAll() {
  planned_only_ = false;
  targets_.promises.AllowLoneMembers();
  running_ = true;
  if (!scheduled_) {
    ScheduleNext();
  }
}

void FaultInjector::Stop() {
  running_ = false;
}

void FaultInjector::ScheduleNext() {
  scheduled_ = true;
  const int most = static_cast<int>(2 * mean_gap_.count());
  targets_.models.time.After(RandomTime(1, most), [this] {
    scheduled_ = false;
    if (running_) {
      InjectOne();
      ScheduleNext();
    }
  });
}

int FaultInjector::WeightOf(const Kind& kind) const {
  const bool drawn = (kind.planned || !planned_only_) &&
                     (!kind.other_shape || targets_.other_shape);
  return drawn ? kind.weight : 0;
}

void FaultInjector::InjectOne() {
  int weights = 0;
  for (const Kind& kind : kKinds) {
    weights += WeightOf(kind);
  }
  int drawn = Random(0, weights - 1);
  for (const Kind& kind : kKinds) {
    drawn -= WeightOf(kind);
    if (drawn >= 0) {
      continue;
    }
    ++counts_[kind.name];
    targets_.trace(kind.name);
    const Duration disturbed = (this->*kind.inject)();
    if (disturbed > kNoDisturbance) {
      targets_.disturbance.Extend(targets_.models.time.Now() + disturbed);
      targets_.promises.SetDisturbed(targets_.disturbance.until());
    }
    return;
  }
}

void FaultInjector::Undo(Duration duration, const std::function<void()>& undo) {
  targets_.models.time.After(duration, undo);
}

model::ModelWorker* FaultInjector::RandomWorker() {
  const std::string& pool =
      targets_.pools[Random(0, static_cast<int>(targets_.pools.size()) - 1)];
  const std::vector<std::string> ids = targets_.models.workers.Ids(pool);
  return ids.empty() ? nullptr
                     : targets_.models.workers.Find(
                           ids[Random(0, static_cast<int>(ids.size()) - 1)]);
}

test::TcpRelay& FaultInjector::RandomWorkerRelay() {
  auto& relays = targets_.worker_relays;
  return *relays[Random(0, static_cast<int>(relays.size()) - 1)];
}

milliseconds FaultInjector::StopOne() {
  targets_.daemons.Stop(RandomDaemon(), RandomTime(0, 1'000));
  return kNoDisturbance;
}

milliseconds FaultInjector::StopSeveral() {
  const int first = RandomDaemon();
  const int several = Random(2, std::min(4, targets_.daemons.count()));
  for (int i = 0; i < several; ++i) {
    const int daemon = (first + i) % targets_.daemons.count();
    targets_.models.time.After(RandomTime(0, 1'500), [this, daemon] {
      targets_.daemons.Stop(daemon, milliseconds(300));
    });
  }
  return kNoDisturbance;
}

milliseconds FaultInjector::ReloadSettings() {
  targets_.daemons.Reload(RandomDaemon());
  return kNoDisturbance;
}

milliseconds FaultInjector::ChangePlan() {
  targets_.plan.version += static_cast<uint64_t>(Random(1, 5));
  for (QueueConfig& queue : targets_.plan.queues) {
    queue.objective = RandomTime(400, 900);
  }
  targets_.promises.SetPlan(targets_.plan);
  targets_.models.store.Put(kPlanKey, FormatPlan(targets_.plan));
  return kNoDisturbance;
}

milliseconds FaultInjector::KillOne() {
  const Duration down = RandomTime(0, 2'500);
  targets_.daemons.Kill(RandomDaemon(), down);
  return down + kStartTime;
}

milliseconds FaultInjector::KillSeries() {
  // The same process again and again, or each owner as it takes over.
  const bool same = Random(0, 1) == 0;
  const int first = RandomDaemon();
  const int kills = Random(2, 5);
  const Duration gap = RandomTime(200, 1'500);
  for (int i = 0; i < kills; ++i) {
    const int daemon = same ? first : (first + i) % targets_.daemons.count();
    targets_.models.time.After(gap * i, [this, daemon] {
      targets_.daemons.Kill(daemon, milliseconds(100));
    });
  }
  return gap * kills + kStartTime;
}

milliseconds FaultInjector::KillAll() {
  const Duration down = RandomTime(0, 1'500);
  for (int i = 0; i < targets_.daemons.count(); ++i) {
    targets_.daemons.Kill(i, down);
  }
  return down + kStartTime;
}

milliseconds FaultInjector::PauseOne() {
  const Duration duration = RandomTime(100, 7'000);
  targets_.daemons.Pause(RandomDaemon(), duration);
  return duration + kStartTime;
}

milliseconds FaultInjector::PauseAndStop() {
  const int daemon = RandomDaemon();
  const Duration duration = RandomTime(300, 3'000);
  targets_.daemons.Pause(daemon, duration);
  targets_.daemons.Reload(daemon);
  targets_.daemons.Stop(daemon, milliseconds(200));
  return duration + kStartTime;
}

milliseconds FaultInjector::Cut(test::TcpRelay& relay) {
  const Duration duration = RandomTime(200, 6'000);
  relay.Cut();
  Undo(duration, [&relay] { relay.Heal(); });
  return duration;
}

milliseconds FaultInjector::CutOneWay(test::TcpRelay& relay) {
  const Duration duration = RandomTime(200, 5'000);
  test::TcpRelay::Faults faults;
  faults.hold_requests = Random(0, 1) == 0;
  faults.hold_answers = !faults.hold_requests;
  relay.SetFaults(faults);
  Undo(duration, [&relay] { relay.SetFaults({}); });
  return duration;
}

milliseconds FaultInjector::Delay(test::TcpRelay& relay) {
  const Duration duration = RandomTime(500, 5'000);
  test::TcpRelay::Faults faults;
  faults.delay = RandomTime(20, 700);
  relay.SetFaults(faults);
  Undo(duration, [&relay] { relay.SetFaults({}); });
  return duration + faults.delay;
}

milliseconds FaultInjector::DelayStoreLink() {
  return Delay(targets_.daemons.StoreRelay(RandomDaemon()));
}

milliseconds FaultInjector::ResetStoreLink() {
  targets_.daemons.StoreRelay(RandomDaemon()).Reset();
  return milliseconds(1);
}

milliseconds FaultInjector::ResetAllStoreLinks() {
  model::VirtualTime& time = targets_.models.time;
  const int resets = Random(3, 8);
  const Duration gap = RandomTime(100, 700);
  const Duration all = gap * resets;
  for (int i = 0; i < resets; ++i) {
    for (int daemon = 0; daemon < targets_.daemons.count(); ++daemon) {
      const Duration spread =
          RandomTime(0, static_cast<int>(kResetSpread.count()));
      time.After(gap * i + spread, [this, daemon] {
        targets_.daemons.StoreRelay(daemon).Reset();
      });
    }
  }
  const int stops = Random(1, std::min(4, targets_.daemons.count() - 1));
  for (int i = 0; i < stops; ++i) {
    time.After(RandomTime(0, static_cast<int>(all.count())),
               [this, daemon = RandomDaemon()] {
                 targets_.daemons.Stop(daemon, milliseconds(300));
               });
  }
  return all;
}

int FaultInjector::Controller() const {
  const StoreItem* item = targets_.models.store.Find(OwnerKey(kInstancesScope));
  const Result<OwnerRecord> record =
      ParseOwnerRecord(item != nullptr ? item->value : "");
  int daemon = -1;
  const bool known =
      record &&
      absl::SimpleAtoi(absl::StripPrefix(record->entry, "entry-"), &daemon);
  return known ? daemon : -1;
}

// Some daemons do not learn of its last moves by the registry either.
milliseconds FaultInjector::LoseController() {
  const Duration duration = RandomTime(2'000, 9'000);
  const int silent = Random(1, kMaxSilentDaemons);
  for (int i = 0; i < silent; ++i) {
    model::ModelNode& node = targets_.daemons.Node(RandomDaemon());
    node.silent_prefix = kRegistryPrefix;
    Undo(duration, [&node] { node.silent_prefix.clear(); });
  }
  targets_.models.time.After(RandomTime(500, 2'000), [this] {
    if (const int controller = Controller(); controller >= 0) {
      targets_.daemons.Kill(controller, milliseconds(300));
    }
  });
  return duration;
}

milliseconds FaultInjector::SilenceStoreLink() {
  targets_.daemons.StoreRelay(RandomDaemon()).Silence();
  return milliseconds(1);
}

milliseconds FaultInjector::CutStoreLink() {
  return Cut(targets_.daemons.StoreRelay(RandomDaemon()));
}

milliseconds FaultInjector::CutStoreLinkOneWay() {
  return CutOneWay(targets_.daemons.StoreRelay(RandomDaemon()));
}

milliseconds FaultInjector::DelayWorkerLink() {
  return Delay(RandomWorkerRelay());
}

milliseconds FaultInjector::ResetWorkerLink() {
  RandomWorkerRelay().Reset();
  return milliseconds(1);
}

milliseconds FaultInjector::SilenceWorkerLink() {
  RandomWorkerRelay().Silence();
  return milliseconds(1);
}

milliseconds FaultInjector::CutWorkerLink() {
  return Cut(RandomWorkerRelay());
}

milliseconds FaultInjector::CutWorkerLinkOneWay() {
  return CutOneWay(RandomWorkerRelay());
}

milliseconds FaultInjector::SlowStore() {
  const Duration duration = RandomTime(500, 4'000);
  model::StoreFaults& faults = targets_.models.store.faults;
  faults.latency = RandomTime(50, 900);
  Undo(duration, [this, &faults] { faults.latency = usual_latency_; });
  return duration;
}

milliseconds FaultInjector::SilentStore() {
  const Duration duration = RandomTime(300, 4'000);
  model::StoreFaults& faults = targets_.models.store.faults;
  faults.silent = true;
  faults.lapse = Random(0, 1) == 0;
  Undo(duration, [&faults] { faults.silent = false; });
  return duration;
}

milliseconds FaultInjector::LostWrites() {
  const Duration duration = RandomTime(500, 4'000);
  model::StoreFaults& faults = targets_.models.store.faults;
  faults.lost_share = Random(5, 40) / 100.0;
  faults.lost_late = Random(0, 1) == 0;
  Undo(duration, [&faults] { faults.lost_share = 0; });
  return duration + kLatestWrite;
}

milliseconds FaultInjector::ForgetHistory() {
  targets_.models.store.ForgetHistory();
  return milliseconds(1);
}

milliseconds FaultInjector::SwallowWatches() {
  targets_.models.store.SwallowWatches();
  return milliseconds(1);
}

milliseconds FaultInjector::TurnAwayDaemon() {
  const Duration duration = RandomTime(300, 5'000);
  model::ModelNode& node = targets_.daemons.Node(RandomDaemon());
  node.store_busy = true;
  Undo(duration, [&node] { node.store_busy = false; });
  return duration;
}

milliseconds FaultInjector::LoseDaemonsAnswers() {
  const Duration duration = RandomTime(300, 5'000);
  model::ModelNode& node = targets_.daemons.Node(RandomDaemon());
  node.store_answers_lost = true;
  Undo(duration, [&node] { node.store_answers_lost = false; });
  return duration;
}

milliseconds FaultInjector::CrashWorker() {
  const Duration down = RandomTime(100, 2'000);
  const auto& instances = targets_.instances;
  targets_.models.instances.Crash(
      instances[Random(0, static_cast<int>(instances.size()) - 1)], down);
  return down;
}

milliseconds FaultInjector::LoseWorkerAnswers() {
  const Duration duration = RandomTime(300, 5'000);
  if (model::ModelWorker* worker = RandomWorker()) {
    worker->answers_lost = true;
    Undo(duration, [worker] { worker->answers_lost = false; });
  }
  return duration;
}

milliseconds FaultInjector::LateOrders() {
  const Duration duration = RandomTime(500, 3'000);
  model::WorkerFaults& faults = targets_.models.workers.faults;
  faults.late_share = Random(2, 20) / 100.0;
  faults.answer_lost_share = Random(0, 20) / 100.0;
  Undo(duration, [&faults] { faults = {}; });
  return duration + kLatestOrder;
}

milliseconds FaultInjector::SickWorker() {
  const Duration duration = RandomTime(500, 3'000);
  if (model::ModelWorker* worker = RandomWorker()) {
    worker->grey = true;
    Undo(duration, [worker] { worker->grey = false; });
  }
  return duration;
}

milliseconds FaultInjector::RequestMaintenance() {
  MaintenanceWave wave;
  wave.number = next_wave_++;
  for (const std::string& instance : targets_.instances) {
    if (Random(0, 2) == 0) {
      wave.instances.push_back(instance);
    }
  }
  wave.complete_within = std::chrono::seconds(60);
  wave.max_down = Random(1, 2);
  targets_.models.instances.SetWave(wave);
  targets_.models.store.Put(WaveKey(wave.number), FormatWave(wave));
  return milliseconds(1);
}

}  // namespace figflow::soak
