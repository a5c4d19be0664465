#include "Daemon/maintenance_driver.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Common/log.h"
#include "Maintenance/wave_document.h"
#include "absl/strings/string_view.h"
#include "absl/strings/strip.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

constexpr char kPrefix[] = "wave/";
constexpr std::chrono::milliseconds kStepInterval{1000};
constexpr std::chrono::milliseconds kWatchRetry{500};

// A finished roll-out needs no steps, nor does one that was never begun.
bool HasWork(RolloutState state) {
  return state != RolloutState::kFinished && state != RolloutState::kNone;
}

}  // namespace

MaintenanceDriver::MaintenanceDriver(Parts parts,
                                     MaintenanceOptions options,
                                     std::chrono::milliseconds watch_wait)
    : parts_(parts), options_(std::move(options)), watch_wait_(watch_wait) {}

MaintenanceDriver::~MaintenanceDriver() {
  Stop();
}

void MaintenanceDriver::Start() {
  watch_ = std::thread([this] { RunWatch(); });
}

void MaintenanceDriver::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (watch_.joinable()) {
    watch_.join();
  }
}

void MaintenanceDriver::RunWatch() {
  const auto stopped = [this] {
    mutex_.AssertHeld();
    return stopping_;
  };
  uint64_t revision = 0;
  while (true) {
    const Result<WatchResult> result =
        parts_.store.Watch(kPrefix, revision, watch_wait_);
    if (result) {
      revision = std::max(revision, result->revision);
      for (const KeyValue& change : result->changes) {
        Note(change);
      }
    }
    absl::MutexLock lock(&mutex_);
    if (stopping_ ||
        (!result && mutex_.AwaitWithTimeout(absl::Condition(&stopped),
                                            absl::FromChrono(kWatchRetry)))) {
      return;
    }
  }
}

void MaintenanceDriver::Note(const KeyValue& change) {
  // The lease key "wave/<project>/..." is not a document.
  const absl::string_view name = absl::StripPrefix(change.key, kPrefix);
  if (name.find('/') != absl::string_view::npos) {
    return;
  }
  const ProjectId project{std::string(name)};
  const Result<WaveDocument> document =
      ParseWaveDocument(change.versioned.value);
  absl::MutexLock lock(&mutex_);
  if (!document || !HasWork(document->state)) {
    active_.erase(project);
    return;
  }
  active_[project] = document->state;
}

void MaintenanceDriver::Step(const ControlRound& round) {
  if (round.now < next_step_) {
    return;
  }
  next_step_ = round.now + kStepInterval;
  std::map<ProjectId, RolloutState> active;
  {
    absl::MutexLock lock(&mutex_);
    if (stopping_) {
      return;
    }
    active = active_;
  }
  for (auto it = controllers_.begin(); it != controllers_.end();) {
    it = active.count(it->first) == 0 ? controllers_.erase(it) : std::next(it);
  }
  MaintenanceInput input;
  input.now = round.now;
  input.wall = round.wall;
  input.listed = round.listed;
  for (const auto& [project, state] : active) {
    std::unique_ptr<MaintenanceController>& controller = controllers_[project];
    if (!controller) {
      MaintenanceOptions options = options_;
      options.project = project;
      controller = std::make_unique<MaintenanceController>(
          parts_.store, parts_.data_centre, parts_.budgets, parts_.fleet,
          std::move(options));
    }
    const MaintenanceStatus status = controller->Step(input);
    absl::MutexLock lock(&mutex_);
    last_error_[project] = status.error ? ToString(*status.error) : "";
    if (status.state != RolloutState::kNone && status.state != state) {
      LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "rollout_state",
               {{"project", project.value()},
                {"state", std::string(RolloutStateName(status.state))}});
    }
  }
}

nlohmann::json MaintenanceDriver::DumpState() const {
  absl::MutexLock lock(&mutex_);
  nlohmann::json state = nlohmann::json::object();
  for (const auto& [project, rollout] : active_) {
    auto error = last_error_.find(project);
    state[project.value()] = {
        {"state", std::string(RolloutStateName(rollout))},
        {"error", error == last_error_.end() ? "" : error->second}};
  }
  return state;
}

}  // namespace figflow
