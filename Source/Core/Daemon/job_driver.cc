#include "Daemon/job_driver.h"

#include <optional>
#include <set>
#include <utility>

#include "Budget/availability_budget.h"
#include "Common/log.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

// Urgent work must start within 4 s. A step that preempts takes up to four
// rounds, and a lost holder is replaced after the lease.
constexpr std::chrono::milliseconds kHolderInterval{500};
constexpr std::chrono::milliseconds kWaitingInterval{1000};
constexpr std::chrono::milliseconds kLeaseTtl{2000};
// Sizes of workers elsewhere only decide whether a job can ever run.
constexpr std::chrono::seconds kElsewhereInterval{30};

JobControllerOptions ControllerOptions(const JobDriverOptions& options) {
  JobControllerOptions controller;
  controller.data_centre = options.data_centre;
  controller.timeout = options.call_timeout;
  return controller;
}

}  // namespace

JobDriver::JobDriver(Parts parts, JobDriverOptions options)
    : parts_(parts),
      options_(std::move(options)),
      jobs_(parts.store, options_.writer, options_.call_timeout),
      controller_(
          ControllerOptions(options_),
          jobs_,
          parts.fleet,
          parts.metrics,
          std::make_unique<BestFit>(),
          [this](const InstanceId& worker) { return MayQuarantine(worker); }),
      lease_(parts.store,
             absl::StrCat("lease/jobs/", options_.data_centre.value()),
             options_.writer,
             kLeaseTtl,
             options_.call_timeout) {}

JobDriver::~JobDriver() {
  Stop();
}

void JobDriver::Start() {
  thread_ = std::thread([this] { Run(); });
}

void JobDriver::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void JobDriver::Run() {
  const auto stopped = [this] {
    mutex_.AssertHeld();
    return stopping_;
  };
  while (true) {
    const Result<bool> round = RunOnce();
    const bool holder = round.has_value() && *round;
    absl::MutexLock lock(&mutex_);
    last_error_ = round ? "" : ToString(round.error());
    if (holder != holder_) {
      holder_ = holder;
      LogEvent(LogLevel::kInfo, LogCategory::kJobs, "placing",
               {{"active", holder ? "yes" : "no"}});
    }
    const auto pause = holder ? kHolderInterval : kWaitingInterval;
    if (mutex_.AwaitWithTimeout(absl::Condition(&stopped),
                                absl::FromChrono(pause))) {
      return;
    }
  }
}

Result<bool> JobDriver::RunOnce() {
  const std::optional<DataCentreDocument> document =
      parts_.data_centre.Current();
  if (!document) {
    return false;
  }
  Result<bool> held = lease_.Hold();
  if (!held || !*held) {
    return held;
  }
  RefreshElsewhere(parts_.clock.Now());
  const Result<void> step =
      controller_.Step(MakePolicy(*document), parts_.clock.WallNow());
  if (!step) {
    return tl::unexpected<Error>(step.error());
  }
  return true;
}

JobPolicy JobDriver::MakePolicy(const DataCentreDocument& document) {
  JobPolicy policy;
  for (const auto& [id, record] : document.instances) {
    policy.pools[id] = record.pool;
    if (record.stage != InstanceStage::kActive) {
      policy.closed.insert(id);
    }
  }
  policy.elsewhere = elsewhere_;
  return policy;
}

void JobDriver::RefreshElsewhere(MonoTime now) {
  if (now < next_elsewhere_) {
    return;
  }
  next_elsewhere_ = now + kElsewhereInterval;
  std::set<DataCentreId> others;
  for (const SheetRow& row : parts_.config.InForce()->rows) {
    if (row.data_centre != options_.data_centre) {
      others.insert(row.data_centre);
    }
  }
  std::vector<PlacementWorker> workers;
  for (const DataCentreId& other : others) {
    DataCentreStore documents(parts_.store, other, options_.writer,
                              options_.call_timeout);
    const Result<std::vector<ListedInstance>> listed =
        parts_.fleet.ListInstances(other, options_.call_timeout);
    if (!documents.Refresh() || !listed) {
      // Keeps the last view: a job must not be refused for want of an answer.
      return;
    }
    const std::optional<DataCentreDocument> document = documents.Current();
    for (const ListedInstance& instance : *listed) {
      auto record = document->instances.find(instance.id);
      if (record == document->instances.end()) {
        continue;
      }
      PlacementWorker worker;
      worker.id = instance.id;
      worker.pool = record->second.pool;
      worker.capacity = {static_cast<double>(instance.cores),
                         instance.memory_mb, instance.accelerators};
      worker.usable = false;
      workers.push_back(std::move(worker));
    }
  }
  elsewhere_ = std::move(workers);
}

bool JobDriver::MayQuarantine(const InstanceId& worker) {
  const std::optional<DataCentreDocument> document =
      parts_.data_centre.Current();
  if (!document || document->instances.count(worker) == 0) {
    return false;
  }
  const ProjectId project = document->instances.at(worker).project;
  const WallTime now = parts_.clock.WallNow();
  const Result<BudgetDocument> budget = parts_.budgets.Read(project);
  if (!budget) {
    return false;
  }
  const BudgetStatus status = StatusOfDay(*budget, UtcDay(now), now);
  if (status.down >= status.max_down ||
      status.remaining <= std::chrono::milliseconds::zero()) {
    return false;
  }
  return parts_.budgets.BeginFailure(project, worker, now).has_value();
}

nlohmann::json JobDriver::DumpState() const {
  absl::MutexLock lock(&mutex_);
  return {{"holder", holder_}, {"last_error", last_error_}};
}

}  // namespace figflow
