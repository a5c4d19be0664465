#include "Daemon/maintenance_driver.h"

#include <iterator>
#include <string>
#include <utility>

#include "Common/log.h"
#include "Maintenance/rollout_watcher.h"
#include "Maintenance/wave_document.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kStepInterval{1000};
constexpr std::chrono::milliseconds kWatchRetry{500};

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
  RolloutWatcher watcher(parts_.store);
  while (true) {
    const Result<void> result = watcher.Poll(watch_wait_);
    absl::MutexLock lock(&mutex_);
    active_ = watcher.active();
    if (stopping_ ||
        (!result && mutex_.AwaitWithTimeout(absl::Condition(&stopped),
                                            absl::FromChrono(kWatchRetry)))) {
      return;
    }
  }
}

void MaintenanceDriver::Step(const ControlRound& round) {
  if (round.now < next_step_) {
    return;
  }
  next_step_ = round.now + kStepInterval;
  std::set<ProjectId> active;
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
  for (const ProjectId& project : active) {
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
    MaintenanceStatus& last = last_status_[project];
    if (status.state != last.state) {
      LogEvent(LogLevel::kInfo, LogCategory::kMaintenance, "rollout_state",
               {{"project", project.value()},
                {"state", std::string(RolloutStateName(status.state))}});
    }
    last = status;
  }
}

nlohmann::json MaintenanceDriver::DumpState() const {
  absl::MutexLock lock(&mutex_);
  nlohmann::json state = nlohmann::json::object();
  for (const auto& [project, status] : last_status_) {
    state[project.value()] = {
        {"state", std::string(RolloutStateName(status.state))},
        {"holder", status.holder},
        {"error", status.error ? ToString(*status.error) : ""}};
  }
  return state;
}

}  // namespace figflow
