#include "Daemon/control_loop.h"

#include <algorithm>
#include <utility>

#include "Common/log.h"
#include "Daemon/config_projection.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

// The dispatcher refuses requests whose deadline passed in its queue at this
// resolution.
constexpr std::chrono::milliseconds kTickInterval{20};
// Pause after a failed watch, so that a store that refuses at once is not
// called in a loop.
constexpr std::chrono::milliseconds kWatchRetry{500};

}  // namespace

ControlLoop::ControlLoop(ControlParts parts, ControlOptions options)
    : parts_(parts),
      options_(std::move(options)),
      rounds_(parts.metrics.GetCounter("figflow_control_rounds_total")),
      round_time_(parts.metrics.GetHistogram("figflow_control_round")) {}

ControlLoop::~ControlLoop() {
  Stop();
}

void ControlLoop::AddStep(std::function<void(const ControlRound&)> step) {
  steps_.push_back(std::move(step));
}

void ControlLoop::Start() {
  threads_.emplace_back([this] { RunRounds(); });
  threads_.emplace_back([this] { RunWatch(); });
  threads_.emplace_back([this] { RunTicks(); });
}

void ControlLoop::Wake() {
  absl::MutexLock lock(&mutex_);
  woken_ = true;
}

bool ControlLoop::Release(std::chrono::milliseconds bound) {
  {
    absl::MutexLock lock(&round_mutex_);
    parts_.pools.Release();
  }
  Wake();
  const auto released = [this] {
    mutex_.AssertHeld();
    return status_.released || !status_.member;
  };
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(absl::Condition(&released),
                                 absl::FromChrono(bound));
}

void ControlLoop::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

PoolsStatus ControlLoop::LastStatus() const {
  absl::MutexLock lock(&mutex_);
  return status_;
}

Result<void> ControlLoop::RemoveEntry(const EntryId& entry) {
  absl::MutexLock lock(&round_mutex_);
  return parts_.pools.RemoveEntry(entry);
}

bool ControlLoop::WaitForRound(MonoTime until) {
  const auto due = [this] {
    mutex_.AssertHeld();
    return stopping_ || woken_;
  };
  absl::MutexLock lock(&mutex_);
  const auto left =
      std::max(until - parts_.clock.Now(), MonoTime::duration::zero());
  mutex_.AwaitWithTimeout(absl::Condition(&due), absl::FromChrono(left));
  woken_ = false;
  return !stopping_;
}

void ControlLoop::RunRounds() {
  do {
    RunRound();
  } while (WaitForRound(parts_.clock.Now() + options_.interval));
}

void ControlLoop::RefreshList(MonoTime now) {
  if (now < next_list_) {
    return;
  }
  next_list_ = now + options_.list_interval;
  Result<std::vector<ListedInstance>> listed =
      parts_.fleet.ListInstances(options_.data_centre, options_.call_timeout);
  if (!listed) {
    listed_.reset();
    return;
  }
  for (const ListedInstance& instance : *listed) {
    if (instance.role == InstanceRole::kWorker &&
        instance.state != InstanceState::kLive) {
      parts_.dispatcher.MarkLeaving(LeavingTarget{instance.id, instance.boot},
                                    now);
    }
  }
  listed_ = std::move(*listed);
}

std::optional<std::set<InstanceId>> ControlLoop::BusyInstances() {
  const std::optional<DataCentreDocument> document =
      parts_.data_centre.Current();
  const bool draining =
      document &&
      std::any_of(document->instances.begin(), document->instances.end(),
                  [](const auto& instance) {
                    return instance.second.stage == InstanceStage::kDraining;
                  });
  // A drain that begins in this round is completed in a later one, after the
  // tasks have been listed.
  if (!draining) {
    return std::nullopt;
  }
  const Result<std::vector<TaskReport>> tasks =
      parts_.fleet.ListTasks(options_.data_centre, options_.call_timeout);
  if (!tasks) {
    return std::nullopt;
  }
  std::set<InstanceId> busy;
  for (const TaskReport& task : *tasks) {
    if (task.state == TaskState::kRunning ||
        task.state == TaskState::kThrottled) {
      busy.insert(task.worker);
    }
  }
  return busy;
}

void ControlLoop::RunRound() {
  const MonoTime start = parts_.clock.Now();
  absl::MutexLock round_lock(&round_mutex_);
  RefreshList(start);

  ControlRound round;
  round.now = parts_.clock.Now();
  round.wall = parts_.clock.WallNow();
  round.configuration = parts_.config.InForce();
  round.listed = listed_;

  PoolsInput input;
  input.now = round.now;
  input.wall = round.wall;
  input.config = PoolsConfigOf(*round.configuration, options_.data_centre);
  input.listed = listed_;
  input.busy = BusyInstances();
  round.pools = parts_.pools.Step(input);
  {
    absl::MutexLock lock(&mutex_);
    status_ = round.pools;
  }
  for (const auto& step : steps_) {
    step(round);
  }
  rounds_.Add();
  round_time_.Record(parts_.clock.Now() - start);
}

void ControlLoop::RunWatch() {
  const auto stopped = [this] {
    mutex_.AssertHeld();
    return stopping_;
  };
  while (true) {
    const Result<bool> changed = parts_.data_centre.Watch(options_.watch_wait);
    if (changed && *changed) {
      Wake();
    }
    absl::MutexLock lock(&mutex_);
    if (stopping_ ||
        (!changed && mutex_.AwaitWithTimeout(absl::Condition(&stopped),
                                             absl::FromChrono(kWatchRetry)))) {
      return;
    }
  }
}

void ControlLoop::RunTicks() {
  const auto stopped = [this] {
    mutex_.AssertHeld();
    return stopping_;
  };
  while (true) {
    parts_.dispatcher.Tick(parts_.clock.Now());
    absl::MutexLock lock(&mutex_);
    if (mutex_.AwaitWithTimeout(absl::Condition(&stopped),
                                absl::FromChrono(kTickInterval))) {
      return;
    }
  }
}

}  // namespace figflow
