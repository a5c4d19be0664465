#include "Soak/soak_run.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <thread>
#include <utility>

#include "Soak/daemon_set.h"
#include "Soak/faults.h"
#include "Soak/real_time.h"
#include "Soak/wire_format.h"
#include "Soak/wire_front.h"
#include "StandIns/Fleet/model_fleet.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kSparePool[] = "spare";
constexpr Resources kInstanceSize{4'000, 64'000, 0};
// Lives of workers share the relays: as many as there are instances, and no
// fewer than this.
constexpr int kMinWorkerRelays = 24;
constexpr milliseconds kCallInterval{150};
constexpr milliseconds kHeartbeatInterval{1'500};
constexpr milliseconds kEntriesKept{4'500};
// Instances that come from the spare pool are up for about half of it.
constexpr milliseconds kPeak{3'000};
// Worker clocks run up to 2% slow (platform contract).
constexpr double kSlowestClock = 0.98;
constexpr milliseconds kStoreLatencies[] = {milliseconds(4), milliseconds(50),
                                            milliseconds(150)};
constexpr double kFailingShare = 0.04;
// Each of these seeds has planned work only.
constexpr uint64_t kPlannedOnlySeeds = 5;
constexpr milliseconds kFaultGap{600};
constexpr milliseconds kCheckInterval{200};
// A run whose jobs have not ended by then is broken: recovery takes 12 s after
// the last fault, lapsed leases and late orders 12 s, the longest job 12 s.
constexpr seconds kSettleBound{60};
constexpr size_t kMostReported = 10;

}  // namespace

class SoakRun {
 public:
  explicit SoakRun(const SoakOptions& options);
  ~SoakRun();

  SoakReport Run();

 private:
  void SetUp();
  void AddInstances(const std::string& pool, int count);
  void Report(const std::string& what);
  void Trace(const std::string& line);
  void Check();
  // What still runs or waits; empty if all has ended.
  std::string Left() const;
  void WaitUntilSettled();
  bool Interrupted() const {
    return options_.interrupted != nullptr && *options_.interrupted;
  }

  const SoakOptions options_;
  std::ofstream trace_;
  model::VirtualTime time_;
  const MonoTime begun_ = time_.Now();
  std::mt19937_64 random_;
  model::Promises promises_;
  model::ModelStore store_;
  model::ModelWorkers workers_;
  model::ModelInstances instances_;
  Disturbance disturbance_;
  SoakReport report_;
  size_t promises_seen_ = 0;
  FleetPlan plan_ = model::SimplePlan(options_.shape.pools);
  std::vector<std::string> pools_;
  std::vector<std::string> instance_ids_;
  RealTime loop_;
  std::unique_ptr<Callers> callers_;
  WireFront front_;
  std::vector<std::unique_ptr<test::TcpRelay>> worker_relays_;
  DaemonSet daemons_;
  std::unique_ptr<FaultInjector> faults_;
};

SoakRun::SoakRun(const SoakOptions& options)
    : options_(options),
      trace_(options.directory + "/trace.log"),
      random_(options.seed),
      store_(time_, options.seed + 1),
      workers_(time_, store_, promises_, options.seed + 2),
      instances_(time_, workers_, promises_),
      loop_(time_),
      front_(
          loop_,
          {time_, store_, workers_, instances_},
          options.seed + 3,
          [this](const std::string& id) { return callers_->Find(id); },
          [this](const std::string& what) { Report(what); }),
      daemons_(time_,
               front_,
               {options.program, options.directory, options.daemons,
                options.first_port},
               [this](const std::string& what) { Report(what); }) {}

SoakRun::~SoakRun() {
  loop_.Stop();
}

void SoakRun::Trace(const std::string& line) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(time_.Now() - begun_);
  trace_ << at.count() << " " << line << std::endl;
}

void SoakRun::Report(const std::string& what) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(time_.Now() - begun_);
  Trace("BROKEN " + what);
  if (report_.broken.size() < kMostReported) {
    report_.broken.push_back(absl::StrCat("at ", at.count(), " ms: ", what));
  }
}

void SoakRun::SetUp() {
  const SoakShape& shape = options_.shape;
  const int relay_port =
      options_.first_port + options_.daemons * kPortsPerDaemon;
  const int relays = std::max(kMinWorkerRelays, shape.instances());
  for (int i = 0; i < relays; ++i) {
    worker_relays_.push_back(std::make_unique<test::TcpRelay>(
        static_cast<uint16_t>(relay_port + i), front_.port()));
  }
  workers_.SetRegistry(
      {kRegistryPrefix, [relay_port, relays](WorkerReport report) {
         int number = 0;
         (void)absl::SimpleAtoi(report.key.id.substr(1), &number);
         report.address =
             absl::StrCat("127.0.0.1:", relay_port + number % relays);
         return FormatWorker(report);
       }});
  workers_.behaviour = [this](const TaskName& /*task*/) {
    model::TaskBehaviour behaviour;
    behaviour.duration =
        milliseconds(std::uniform_int_distribution<int>(100, 1'200)(random_));
    behaviour.fails =
        std::uniform_real_distribution<double>(0, 1)(random_) < kFailingShare;
    return behaviour;
  };
  // Slow enough in some runs that calls are in flight when a daemon stops.
  store_.faults.latency =
      kStoreLatencies[random_() % std::size(kStoreLatencies)];
  promises_.SetPlan(plan_);
  store_.Put(kPlanKey, FormatPlan(plan_));
  for (int pool = 0; pool < shape.pools; ++pool) {
    pools_.push_back(absl::StrCat("p", pool));
    AddInstances(pools_.back(), shape.instances_per_pool);
  }
  if (!shape.IsDefault()) {
    instances_.SetSparePool(kSparePool);
    AddInstances(kSparePool, shape.spare);
    workers_.StartHeartbeats(kHeartbeatInterval, kEntriesKept);
  }
  daemons_.StartAll();
  CallerOptions callers;
  callers.queues = shape.pools;
  callers.interval = kCallInterval / shape.load;
  callers.peak = shape.spare > 0 ? kPeak : milliseconds(0);
  for (int i = 0; i < daemons_.count(); ++i) {
    callers.addresses.push_back(daemons_.CallerAddress(i));
  }
  callers_ = std::make_unique<Callers>(
      loop_, time_, promises_, disturbance_, std::move(callers), random_(),
      [this](const std::string& what) { Report(what); });
  callers_->Start();
  faults_ = std::make_unique<FaultInjector>(
      FaultTargets{{time_, store_, workers_, instances_},
                   promises_,
                   daemons_,
                   worker_relays_,
                   pools_,
                   instance_ids_,
                   plan_,
                   disturbance_,
                   [this](const std::string& line) { Trace(line); },
                   !shape.IsDefault()},
      kFaultGap, random_());
  faults_->StartPlanned();
  if (options_.seed % kPlannedOnlySeeds != 0) {
    time_.After(options_.duration / 4, [this] { faults_->StartAll(); });
  }
  time_.After(kCheckInterval, [this] { Check(); });
}

void SoakRun::AddInstances(const std::string& pool, int count) {
  for (int i = 0; i < count; ++i) {
    workers_.SetClockRate(
        std::uniform_real_distribution<double>(kSlowestClock, 1)(random_));
    instance_ids_.push_back(instances_.Add(pool, kInstanceSize));
  }
}

void SoakRun::Check() {
  const std::vector<std::string>& broken = promises_.broken();
  for (; promises_seen_ < broken.size(); ++promises_seen_) {
    Report(broken[promises_seen_]);
  }
  time_.After(kCheckInterval, [this] { Check(); });
}

std::string SoakRun::Left() const {
  std::string left;
  for (const std::string& job : promises_.Unfinished()) {
    absl::StrAppend(&left, " ", job, ";");
  }
  if (const int undecided = callers_->Undecided(); undecided > 0) {
    absl::StrAppend(&left, " ", undecided, " jobs without a certain answer;");
  }
  for (const std::string& task : promises_.Running()) {
    absl::StrAppend(&left, " ", task, " runs;");
  }
  return left;
}

void SoakRun::WaitUntilSettled() {
  std::string left;
  loop_.RunAndWait([this] {
    Trace("end of faults");
    faults_->Stop();
    callers_->StopSubmitting();
    daemons_.Settle();
  });
  for (; report_.settle < kSettleBound && !Interrupted();
       report_.settle += kCheckInterval) {
    std::this_thread::sleep_for(kCheckInterval);
    loop_.RunAndWait([&] { left = Left(); });
    if (left.empty()) {
      return;
    }
  }
  if (!Interrupted()) {
    loop_.RunAndWait([&] { Report("not ended:" + left); });
  }
}

SoakReport SoakRun::Run() {
  if (const auto started = front_.Start(); !started) {
    report_.broken.push_back(ToString(started.error()));
    return report_;
  }
  loop_.Start();
  loop_.RunAndWait([this] { SetUp(); });
  for (milliseconds passed{0}; passed < options_.duration && !Interrupted();
       passed += kCheckInterval) {
    std::this_thread::sleep_for(kCheckInterval);
  }
  if (!Interrupted()) {
    WaitUntilSettled();
  }
  loop_.RunAndWait([this] {
    report_.calls = callers_->counts();
    report_.completed = promises_.completed();
    report_.faults = faults_->counts();
    report_.lag = loop_.LongestLag();
  });
  return report_;
}

bool SoakShape::IsDefault() const {
  const SoakShape usual;
  return pools == usual.pools &&
         instances_per_pool == usual.instances_per_pool &&
         spare == usual.spare && load == usual.load;
}

SoakReport RunSoak(const SoakOptions& options) {
  SoakRun run(options);
  return run.Run();
}

}  // namespace figflow::soak
