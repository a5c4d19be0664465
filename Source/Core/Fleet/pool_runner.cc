#include "Fleet/pool_runner.h"

#include <utility>

#include "Common/log.h"
#include "Fleet/pool_runner_actions.h"
#include "Ownership/owner_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Minimum time between two steps of the scheduler. At a peak, thousands of
// responses arrive in a second, and a step scans all workers and waiting jobs.
// An order is delayed by less than the duration of a request to a worker.
constexpr std::chrono::milliseconds kMinStepInterval{5};
// How long an owner that is no longer certain to own the pool continues to
// renew the leases of running tasks. An outage of the whole store must not end
// all work, and no daemon can take over during it.
constexpr std::chrono::milliseconds kRenewalGrace{3'000};
// Delay before the next write after a refused one, which may be refused too.
constexpr std::chrono::milliseconds kRefusedWriteDelay{50};

}  // namespace

PoolRunner::PoolRunner(Dependencies parts, Claim claim, ExecutionBounds bounds)
    : deps_(std::move(parts)),
      claim_(std::move(claim)),
      steps_(deps_.metrics.GetCounter("figflow_pool_steps_total")),
      bounds_(bounds),
      plan_(std::make_shared<FleetPlan>()) {}

void PoolRunner::Activate(Recovery& recovery) {
  const MonoTime now = deps_.clock.Now();
  const size_t jobs = recovery.records.size();
  {
    absl::MutexLock lock(&mutex_);
    if (state_ != State::kLoading) {
      return;
    }
    PoolScheduler::Options options;
    options.pool = claim_.pool;
    options.bounds = bounds_;
    options.fence = claim_.revision;
    options.earlier_owner_grace = kRenewalGrace;
    options.handed_over_leases = recovery.leases;
    options.process_memory = deps_.work_memory;
    clears_leases_ = recovery.has_lease_record;
    scheduler_ = std::make_unique<PoolScheduler>(options, deps_.metrics, now);
    scheduler_->SetPlan(plan_);
    scheduler_->Load(std::move(recovery.records), now, deps_.clock.WallNow());
    for (const auto& [id, report] : reports_) {
      scheduler_->OnWorkerListed(report, now);
    }
    RecordWriter::Ownership ownership;
    ownership.pool = claim_.pool;
    ownership.nonce = claim_.nonce;
    ownership.owner_revision = claim_.revision;
    ownership.sequence_revision = recovery.sequence_revision;
    writer_ = std::make_shared<RecordWriter>(
        deps_.platform.store(), deps_.clock, deps_.metrics, ownership,
        [wake_at = deps_.wake_at, &clock = deps_.clock] {
          wake_at(clock.Now());
        });
    state_ = State::kActive;
    active_since_ = now;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "pool_owned",
           {{"pool", claim_.pool},
            {"fence", absl::StrCat(claim_.revision)},
            {"jobs", absl::StrCat(jobs)},
            {"work_bytes", absl::StrCat(WorkMemoryInUse())}});
  RunOnScheduler([](PoolScheduler&, MonoTime) {});
}

template <typename Change>
bool PoolRunner::RunOnScheduler(Change change) {
  PendingActions work;
  {
    absl::MutexLock lock(&mutex_);
    if (scheduler_ == nullptr || state_ == State::kEnded) {
      return false;
    }
    change(*scheduler_, deps_.clock.Now());
    CollectActions(&work);
  }
  ExecuteActions(std::move(work));
  return true;
}

bool PoolRunner::AcceptsCallsLocked() const {
  return state_ == State::kActive && !deposed_ &&
         deps_.clock.Now() < lease_valid_until_;
}

void PoolRunner::CollectActions(PendingActions* work) {
  const MonoTime now = deps_.clock.Now();
  const bool active = state_ == State::kActive;
  // The handed-over leases must not outlive a lease that this owner grants.
  scheduler_->SetOrdersAllowed(
      active && now < lease_valid_until_,
      active && now < lease_valid_until_ + kRenewalGrace && !clears_leases_);
  if (now >= last_step_at_ + kMinStepInterval) {
    next_step_ = scheduler_->Step(now, deps_.clock.WallNow());
    last_step_at_ = now;
    steps_.Add();
  } else {
    next_step_ = std::min(next_step_, last_step_at_ + kMinStepInterval);
  }
  work->output = scheduler_->TakeOutput();
  TakeResponses(&work->output, work);
  deposed_ = deposed_ || scheduler_->deposed();
  CollectWrites(now, work);
  work->wake = next_step_;
}

void PoolRunner::TakeResponses(SchedulerOutput* output, PendingActions* work) {
  for (const SubmitResponse& response : output->submit_responses) {
    const auto it = pending_submits_.find(response.token);
    if (it != pending_submits_.end()) {
      work->submit_responses.emplace_back(std::move(it->second), response);
      pending_submits_.erase(it);
    }
  }
  for (const CancelResponse& response : output->cancel_responses) {
    const auto it = pending_cancels_.find(response.token);
    if (it != pending_cancels_.end()) {
      work->cancel_responses.emplace_back(std::move(it->second),
                                          response.outcome);
      pending_cancels_.erase(it);
    }
  }
}

void PoolRunner::ExecuteActions(PendingActions work) {
  const auto self = shared_from_this();
  WorkerGateway& workers = deps_.platform.workers();
  for (auto& [done, response] : work.submit_responses) {
    done(response);
  }
  for (auto& [done, outcome] : work.cancel_responses) {
    done(outcome);
  }
  if (work.writer != nullptr) {
    work.writer->Write(
        std::move(work.writes), std::move(work.removals),
        [self](RecordWriter::Outcome outcome) { self->OnWritten(outcome); });
  }
  for (StartOrder& order : work.output.starts) {
    workers.Start(order, [self, order](const Result<OrderResponse>& response) {
      self->RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
        scheduler.OnStartResponse(order, response, now);
      });
    });
  }
  for (StopOrder& order : work.output.stops) {
    workers.Stop(order, [self, order](const Result<OrderResponse>& response) {
      self->RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
        scheduler.OnStopResponse(order, response, now);
      });
    });
  }
  for (PaceOrder& order : work.output.paces) {
    workers.Pace(order, [self, order](const Result<OrderResponse>& response) {
      self->RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
        scheduler.OnPaceResponse(order, response, now);
      });
    });
  }
  for (PolicyQuery& query : work.output.questions) {
    const MonoTime sent_at = deps_.clock.Now();
    workers.Ask(
        query, [self, query, sent_at](const Result<PolicyResponse>& response) {
          self->RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
            scheduler.OnPolicyResponse(query, response, sent_at, now);
          });
        });
  }
  for (HoldOrder& order : work.output.holds) {
    const MonoTime sent_at = deps_.clock.Now();
    workers.Hold(
        order, [self, order, sent_at](const Result<HoldResponse>& response) {
          self->RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
            scheduler.OnHoldResponse(order, response, sent_at, now);
          });
        });
  }
  if (work.released) {
    work.released();
  }
  deps_.wake_at(work.wake);
}

void PoolRunner::OnWritten(RecordWriter::Outcome outcome) {
  if (outcome == RecordWriter::Outcome::kDeposed) {
    {
      absl::MutexLock lock(&mutex_);
      deposed_ = true;
      write_in_flight_ = false;
    }
    deps_.wake_at(deps_.clock.Now());
    return;
  }
  RunOnScheduler([this, outcome](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    write_in_flight_ = false;
    if (outcome == RecordWriter::Outcome::kRefused) {
      next_write_at_ = now + kRefusedWriteDelay;
      scheduler.OnWriteRefused(now);
      return;
    }
    clears_leases_ = false;
    scheduler.OnWritten(now);
  });
}

void PoolRunner::SetPlan(std::shared_ptr<const FleetPlan> plan) {
  {
    absl::MutexLock lock(&mutex_);
    plan_ = plan;
  }
  RunOnScheduler(
      [&](PoolScheduler& scheduler, MonoTime) { scheduler.SetPlan(plan); });
}

void PoolRunner::SetBounds(const ExecutionBounds& bounds) {
  {
    absl::MutexLock lock(&mutex_);
    bounds_ = bounds;
  }
  RunOnScheduler(
      [&](PoolScheduler& scheduler, MonoTime) { scheduler.SetBounds(bounds); });
}

void PoolRunner::OnWorkerListed(const WorkerReport& report) {
  {
    absl::MutexLock lock(&mutex_);
    reports_[report.key.id] = report;
  }
  RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
    scheduler.OnWorkerListed(report, now);
  });
}

void PoolRunner::OnWorkerUnlisted(const std::string& worker) {
  {
    absl::MutexLock lock(&mutex_);
    if (reports_.erase(worker) == 0) {
      return;
    }
  }
  RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
    scheduler.OnWorkerUnlisted(worker, now);
  });
}

bool PoolRunner::Submit(JobSpec spec,
                        std::string spec_bytes,
                        uint64_t plan_version,
                        SubmitCallback done) {
  bool accepted = false;
  bool elsewhere = false;
  RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    accepted = AcceptsCallsLocked();
    elsewhere = scheduler.IsSubmittedElsewhere(spec.id, plan_version, now);
    if (accepted && !elsewhere) {
      const uint64_t token = next_token_++;
      pending_submits_[token] = std::move(done);
      scheduler.Submit(std::move(spec), std::move(spec_bytes), token, now,
                       deps_.clock.WallNow());
    }
  });
  if (accepted && elsewhere) {
    SubmitResponse response;
    response.outcome = SubmitOutcome::kUnknown;
    response.reason = "submitted-to-another-pool";
    done(response);
  }
  return accepted;
}

bool PoolRunner::Cancel(const std::string& job,
                        const JobParty& call,
                        CancelCallback done) {
  bool accepted = false;
  RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    accepted = AcceptsCallsLocked();
    if (accepted) {
      const uint64_t token = next_token_++;
      pending_cancels_[token] = std::move(done);
      scheduler.Cancel(job, call, token, now);
    }
  });
  return accepted;
}

Result<JobView> PoolRunner::Query(const std::string& job) {
  absl::MutexLock lock(&mutex_);
  if (state_ != State::kActive || deposed_) {
    return Fail(ErrorCode::kUnavailable, "pool.query", claim_.pool,
                "the pool is not owned here");
  }
  const std::optional<JobView> view = scheduler_->Query(job);
  if (view) {
    return *view;
  }
  if (deps_.clock.Now() >= lease_valid_until_) {
    return Fail(ErrorCode::kUnavailable, "pool.query", claim_.pool,
                "the lease of this owner may have expired");
  }
  return Fail(ErrorCode::kNotFound, "pool.query", claim_.pool, "no such job");
}

Result<JobView> PoolRunner::LookUp(const std::string& job,
                                   uint64_t plan_version) {
  absl::MutexLock lock(&mutex_);
  if (!AcceptsCallsLocked()) {
    return Fail(ErrorCode::kUnavailable, "pool.look-up", claim_.pool,
                "the pool is not owned here");
  }
  return scheduler_->LookUp(job, plan_version, deps_.clock.Now());
}

Result<int64_t> PoolRunner::CountPending(const std::string& queue) {
  absl::MutexLock lock(&mutex_);
  if (state_ != State::kActive || deposed_) {
    return Fail(ErrorCode::kUnavailable, "pool.count", claim_.pool,
                "the pool is not owned here");
  }
  return scheduler_->CountPending(queue);
}

void PoolRunner::OnWorkerSuperseded(const WorkerKey& worker) {
  {
    absl::MutexLock lock(&mutex_);
    const auto known = reports_.find(worker.id);
    if (known != reports_.end() &&
        known->second.key.incarnation <= worker.incarnation) {
      reports_.erase(known);
    }
  }
  RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
    scheduler.OnWorkerSuperseded(worker, now);
  });
}

Result<PoolReport> PoolRunner::ApplyOrders(const WorkerOrders& orders) {
  Result<PoolReport> report = Fail(ErrorCode::kUnavailable, "pool.ask",
                                   claim_.pool, "the pool is not owned here");
  RunOnScheduler([&](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    if (AcceptsCallsLocked()) {
      for (const WorkerKey& worker : orders.ended) {
        scheduler.OnWorkerReportedEnded(worker, now);
      }
      scheduler.SetEvacuating(orders.evacuate, orders.lend, now);
      scheduler.SetEvacuatingLater(orders.later, now);
      scheduler.SetCustomerGrants(orders.customers, now);
      report = scheduler.Report(now);
    }
  });
  return report;
}

MonoTime PoolRunner::Tick(MonoTime now) {
  std::vector<std::function<void()>> retries;
  std::shared_ptr<RecordWriter> writer;
  bool step = false;
  {
    absl::MutexLock lock(&mutex_);
    if (now >= retry_at_) {
      retries.swap(retries_);
      retry_at_ = MonoTime::max();
    }
    writer = writer_;
    step = now >= next_step_;
  }
  for (const std::function<void()>& retry : retries) {
    retry();
  }
  MonoTime next = MonoTime::max();
  if (writer) {
    next = writer->Step(now);
  }
  if (step) {
    RunOnScheduler([](PoolScheduler&, MonoTime) {});
  }
  absl::MutexLock lock(&mutex_);
  return std::min({next, next_step_, retry_at_});
}

void PoolRunner::SetLeaseValidUntil(MonoTime until) {
  absl::MutexLock lock(&mutex_);
  lease_valid_until_ = until;
}

void PoolRunner::Release(std::function<void()> done) {
  {
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kActive) {
      state_ = State::kReleasing;
      on_released_ = std::move(done);
      done = nullptr;
    } else if (state_ == State::kReleasing) {
      // The release under way calls its own callback.
      return;
    }
  }
  if (done) {
    done();
    return;
  }
  RunOnScheduler([](PoolScheduler&, MonoTime) {});
}

void PoolRunner::Stop(const char* cause) {
  PendingActions work;
  {
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kEnded) {
      return;
    }
    if (scheduler_ != nullptr) {
      scheduler_->Abandon();
      state_ = State::kReleasing;
      write_in_flight_ = true;
      CollectActions(&work);
      work.output.starts.clear();
      work.output.stops.clear();
      work.output.holds.clear();
      work.output.paces.clear();
      work.output.questions.clear();
    }
    state_ = State::kEnded;
    next_step_ = MonoTime::max();
    if (writer_) {
      writer_->Stop();
    }
  }
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "pool_given_up",
           {{"pool", claim_.pool},
            {"fence", absl::StrCat(claim_.revision)},
            {"cause", cause}});
  work.wake = MonoTime::max();
  ExecuteActions(std::move(work));
}

bool PoolRunner::AcceptsCalls() const {
  absl::MutexLock lock(&mutex_);
  return AcceptsCallsLocked();
}

PoolRunner::State PoolRunner::state() const {
  absl::MutexLock lock(&mutex_);
  return state_;
}

bool PoolRunner::deposed() const {
  absl::MutexLock lock(&mutex_);
  return deposed_;
}

std::pair<int, int> PoolRunner::CountReachedWorkers() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_ == nullptr ? std::make_pair(0, 0) : scheduler_->Reached();
}

std::vector<CustomerLoad> PoolRunner::CustomerLoads() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_ == nullptr
             ? std::vector<CustomerLoad>()
             : scheduler_->ReportCustomers(deps_.clock.Now()).customers;
}

std::map<std::string, int> PoolRunner::WaitingByQueue() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_ == nullptr ? std::map<std::string, int>()
                               : scheduler_->waiting_by_queue();
}

size_t PoolRunner::WorkMemoryInUse() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_ == nullptr ? 0 : scheduler_->WorkMemoryInUse();
}

size_t PoolRunner::RefusedRecords() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_ == nullptr ? 0 : scheduler_->RefusedRecords();
}

MonoTime PoolRunner::active_since() const {
  absl::MutexLock lock(&mutex_);
  return active_since_;
}

}  // namespace figflow
