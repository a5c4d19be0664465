#include "Fleet/pool_runner.h"

#include <utility>

#include "Common/log.h"
#include "Ownership/owner_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// A write that has not been answered for this long means that the store is
// silent: a slow one answers within 300 ms, and a single lost answer is made up
// for by the repeated call.
constexpr std::chrono::milliseconds kStoreSilent{650};
// Told to callers whose job was refused for that reason. Outages of the store
// last some seconds; callers that come back one by one find out.
constexpr std::chrono::milliseconds kComeBackAfterSilence{1'000};
// Least time between the starts of two writes of a pool. Each call of the store
// is paid for; waiting this long delays a job by about one hundredth.
constexpr std::chrono::milliseconds kWriteGap{25};
// Least time between two steps of the scheduler. At a peak thousands of answers
// arrive in a second, and a step looks at all workers and waiting jobs; an
// order is delayed by less than a call to a worker takes.
constexpr std::chrono::milliseconds kStepGap{5};
// How long an owner goes on renewing leases of what runs when it cannot be sure
// any more to own the pool: an outage of the whole store must not end all work,
// and nobody can take over during it.
constexpr std::chrono::milliseconds kRenewalGrace{3'000};

}  // namespace

// What the scheduler wants done, carried out without the lock.
struct PoolRunner::Work {
  SchedulerOutput output;
  std::vector<std::pair<SubmitCallback, SubmitReply>> submit_replies;
  std::vector<std::pair<CancelCallback, CancelOutcome>> cancel_replies;
  std::vector<RecordWrite> writes;
  std::shared_ptr<RecordWriter> writer;
  std::function<void()> released;
  MonoTime wake = MonoTime::max();
};

PoolRunner::PoolRunner(Parts parts, Claim claim, ExecutionBounds bounds)
    : parts_(std::move(parts)),
      claim_(std::move(claim)),
      steps_(parts_.metrics.GetCounter("figflow_pool_steps_total")),
      bounds_(bounds),
      plan_(std::make_shared<FleetPlan>()) {}

void PoolRunner::Start() {
  ReadSequence();
}

void PoolRunner::Activate(const Recovery& recovery) {
  const MonoTime now = parts_.clock.Now();
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
    scheduler_ = std::make_unique<PoolScheduler>(options, parts_.metrics, now);
    scheduler_->SetPlan(plan_);
    scheduler_->Load(recovery.records, now, parts_.clock.WallNow());
    for (const auto& [id, report] : reports_) {
      scheduler_->OnWorkerListed(report, now);
    }
    RecordWriter::Ownership ownership;
    ownership.pool = claim_.pool;
    ownership.nonce = claim_.nonce;
    ownership.owner_revision = claim_.revision;
    ownership.sequence_revision = recovery.sequence_revision;
    writer_ = std::make_shared<RecordWriter>(
        parts_.platform.store(), parts_.clock, parts_.metrics, ownership,
        [wake_at = parts_.wake_at, &clock = parts_.clock] {
          wake_at(clock.Now());
        });
    state_ = State::kActive;
    active_since_ = now;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "pool_owned",
           {{"pool", claim_.pool},
            {"fence", absl::StrCat(claim_.revision)},
            {"jobs", absl::StrCat(recovery.records.size())}});
  Run([](PoolScheduler&, MonoTime) {});
}

template <typename Change>
bool PoolRunner::Run(Change change) {
  Work work;
  {
    absl::MutexLock lock(&mutex_);
    if (scheduler_ == nullptr || state_ == State::kEnded) {
      return false;
    }
    change(*scheduler_, parts_.clock.Now());
    Collect(&work);
  }
  CarryOut(std::move(work));
  return true;
}

bool PoolRunner::TakesCalls() const {
  return state_ == State::kActive && !deposed_ &&
         parts_.clock.Now() < certain_until_;
}

void PoolRunner::Collect(Work* work) {
  const MonoTime now = parts_.clock.Now();
  const bool active = state_ == State::kActive;
  scheduler_->SetMayOrder(active && now < certain_until_,
                          active && now < certain_until_ + kRenewalGrace);
  if (now >= stepped_at_ + kStepGap) {
    next_step_ = scheduler_->Step(now, parts_.clock.WallNow());
    stepped_at_ = now;
    steps_.Add();
  } else {
    next_step_ = std::min(next_step_, stepped_at_ + kStepGap);
  }
  work->output = scheduler_->TakeOutput();
  TakeReplies(&work->output, work);
  work->wake = next_step_;
  deposed_ = deposed_ || scheduler_->deposed();
  // A busy pool changes several times within the gap; one write then carries
  // all of it.
  const MonoTime write_at = written_at_ + kWriteGap;
  if (!writing_ && active && scheduler_->HasWrites() && now < write_at) {
    next_step_ = std::min(next_step_, write_at);
    work->wake = next_step_;
  } else if (!writing_ && active && scheduler_->HasWrites()) {
    written_at_ = now;
    work->writes = scheduler_->TakeWrites(RecordWriter::kMaxRecords);
    work->writer = writer_;
    writing_ = true;
  }
  if (writing_ && active) {
    if (now >= written_at_ + kStoreSilent) {
      scheduler_->RefuseUnwritten(kComeBackAfterSilence, now);
      SchedulerOutput refusals = scheduler_->TakeOutput();
      TakeReplies(&refusals, work);
    } else {
      next_step_ = std::min(next_step_, written_at_ + kStoreSilent);
      work->wake = next_step_;
    }
  }
  if (!writing_ && state_ == State::kReleasing) {
    work->released = std::move(on_released_);
    on_released_ = nullptr;
  }
}

void PoolRunner::TakeReplies(SchedulerOutput* output, Work* work) {
  for (const SubmitReply& reply : output->submit_replies) {
    const auto it = submits_.find(reply.token);
    if (it != submits_.end()) {
      work->submit_replies.emplace_back(std::move(it->second), reply);
      submits_.erase(it);
    }
  }
  for (const CancelReply& reply : output->cancel_replies) {
    const auto it = cancels_.find(reply.token);
    if (it != cancels_.end()) {
      work->cancel_replies.emplace_back(std::move(it->second), reply.outcome);
      cancels_.erase(it);
    }
  }
}

void PoolRunner::CarryOut(Work work) {
  const auto self = shared_from_this();
  WorkerGateway& workers = parts_.platform.workers();
  for (auto& [done, reply] : work.submit_replies) {
    done(reply);
  }
  for (auto& [done, outcome] : work.cancel_replies) {
    done(outcome);
  }
  if (!work.writes.empty()) {
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
    for (RecordWrite& write : work.writes) {
      std::string key = write.kind == RecordWrite::Kind::kAccepted
                            ? AcceptedJobKey(claim_.pool, write.job)
                            : JobProgressKey(claim_.pool, write.job);
      if (write.remove) {
        removals.push_back(std::move(key));
      } else {
        writes.push_back({std::move(key), std::move(write.value), 0});
      }
    }
    work.writer->Write(
        std::move(writes), std::move(removals),
        [self](RecordWriter::Outcome outcome) { self->OnWritten(outcome); });
  }
  for (StartOrder& order : work.output.starts) {
    workers.Start(order, [self, order](const Result<OrderAnswer>& answer) {
      self->Run([&](PoolScheduler& scheduler, MonoTime now) {
        scheduler.OnStartAnswer(order, answer, now);
      });
    });
  }
  for (StopOrder& order : work.output.stops) {
    workers.Stop(order, [self, order](const Result<OrderAnswer>& answer) {
      self->Run([&](PoolScheduler& scheduler, MonoTime now) {
        scheduler.OnStopAnswer(order, answer, now);
      });
    });
  }
  for (PaceOrder& order : work.output.paces) {
    workers.Pace(order, [self, order](const Result<OrderAnswer>& answer) {
      self->Run([&](PoolScheduler& scheduler, MonoTime now) {
        scheduler.OnPaceAnswer(order, answer, now);
      });
    });
  }
  for (PolicyQuestion& question : work.output.questions) {
    const MonoTime sent_at = parts_.clock.Now();
    workers.Ask(question,
                [self, question, sent_at](const Result<PolicyAnswer>& answer) {
                  self->Run([&](PoolScheduler& scheduler, MonoTime now) {
                    scheduler.OnPolicyAnswer(question, answer, sent_at, now);
                  });
                });
  }
  for (HoldOrder& order : work.output.holds) {
    const MonoTime sent_at = parts_.clock.Now();
    workers.Hold(order,
                 [self, order, sent_at](const Result<HoldAnswer>& answer) {
                   self->Run([&](PoolScheduler& scheduler, MonoTime now) {
                     scheduler.OnHoldAnswer(order, answer, sent_at, now);
                   });
                 });
  }
  if (work.released) {
    work.released();
  }
  parts_.wake_at(work.wake);
}

void PoolRunner::OnWritten(RecordWriter::Outcome outcome) {
  if (outcome == RecordWriter::Outcome::kDeposed) {
    {
      absl::MutexLock lock(&mutex_);
      deposed_ = true;
      writing_ = false;
    }
    parts_.wake_at(parts_.clock.Now());
    return;
  }
  Run([this](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    writing_ = false;
    scheduler.OnWritten(now);
  });
}

void PoolRunner::SetPlan(std::shared_ptr<const FleetPlan> plan) {
  {
    absl::MutexLock lock(&mutex_);
    plan_ = plan;
  }
  Run([&](PoolScheduler& scheduler, MonoTime) { scheduler.SetPlan(plan); });
}

void PoolRunner::SetBounds(const ExecutionBounds& bounds) {
  {
    absl::MutexLock lock(&mutex_);
    bounds_ = bounds;
  }
  Run([&](PoolScheduler& scheduler, MonoTime) { scheduler.SetBounds(bounds); });
}

void PoolRunner::OnWorkerListed(const WorkerReport& report) {
  {
    absl::MutexLock lock(&mutex_);
    reports_[report.key.id] = report;
  }
  Run([&](PoolScheduler& scheduler, MonoTime now) {
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
  Run([&](PoolScheduler& scheduler, MonoTime now) {
    scheduler.OnWorkerUnlisted(worker, now);
  });
}

bool PoolRunner::Submit(JobSpec spec,
                        std::string spec_bytes,
                        SubmitCallback done) {
  bool taken = false;
  Run([&](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    taken = TakesCalls();
    if (taken) {
      const uint64_t token = next_token_++;
      submits_[token] = std::move(done);
      scheduler.Submit(std::move(spec), std::move(spec_bytes), token, now,
                       parts_.clock.WallNow());
    }
  });
  return taken;
}

bool PoolRunner::Cancel(const std::string& job, CancelCallback done) {
  bool taken = false;
  Run([&](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    taken = TakesCalls();
    if (taken) {
      const uint64_t token = next_token_++;
      cancels_[token] = std::move(done);
      scheduler.Cancel(job, token, now);
    }
  });
  return taken;
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
  if (parts_.clock.Now() >= certain_until_) {
    return Fail(ErrorCode::kUnavailable, "pool.query", claim_.pool,
                "the ownership is not certain");
  }
  return Fail(ErrorCode::kNotFound, "pool.query", claim_.pool, "no such job");
}

Result<int64_t> PoolRunner::CountPending(const std::string& queue) {
  absl::MutexLock lock(&mutex_);
  if (state_ != State::kActive || deposed_) {
    return Fail(ErrorCode::kUnavailable, "pool.count", claim_.pool,
                "the pool is not owned here");
  }
  return scheduler_->CountPending(queue);
}

void PoolRunner::OnWorkerEnded(const std::string& worker) {
  {
    absl::MutexLock lock(&mutex_);
    reports_.erase(worker);
  }
  Run([&](PoolScheduler& scheduler, MonoTime now) {
    scheduler.OnWorkerEnded(worker, now);
  });
}

Result<PoolReport> PoolRunner::Ask(const WorkerOrders& orders) {
  Result<PoolReport> report = Fail(ErrorCode::kUnavailable, "pool.ask",
                                   claim_.pool, "the pool is not owned here");
  Run([&](PoolScheduler& scheduler, MonoTime now) {
    mutex_.AssertHeld();
    if (TakesCalls()) {
      for (const std::string& worker : orders.ended) {
        scheduler.OnWorkerEnded(worker, now);
      }
      scheduler.SetEvacuating(orders.evacuate, now);
      scheduler.SetLeavingLater(orders.later, now);
      report = scheduler.Report(now);
    }
  });
  return report;
}

MonoTime PoolRunner::Tick(MonoTime now) {
  std::function<void()> retry;
  std::shared_ptr<RecordWriter> writer;
  bool step = false;
  {
    absl::MutexLock lock(&mutex_);
    if (now >= retry_at_) {
      retry = std::move(retry_);
      retry_at_ = MonoTime::max();
    }
    writer = writer_;
    step = now >= next_step_;
  }
  if (retry) {
    retry();
  }
  MonoTime next = MonoTime::max();
  if (writer) {
    next = writer->Step(now);
  }
  if (step) {
    Run([](PoolScheduler&, MonoTime) {});
  }
  absl::MutexLock lock(&mutex_);
  return std::min({next, next_step_, retry_at_});
}

void PoolRunner::SetCertainUntil(MonoTime until) {
  absl::MutexLock lock(&mutex_);
  certain_until_ = until;
}

void PoolRunner::Release(std::function<void()> done) {
  {
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kActive) {
      state_ = State::kReleasing;
      on_released_ = std::move(done);
      done = nullptr;
    }
  }
  if (done) {
    done();
    return;
  }
  Run([](PoolScheduler&, MonoTime) {});
}

void PoolRunner::End(const char* cause) {
  Work work;
  {
    absl::MutexLock lock(&mutex_);
    if (state_ == State::kEnded) {
      return;
    }
    if (scheduler_ != nullptr) {
      scheduler_->Abandon();
      state_ = State::kReleasing;
      writing_ = true;
      Collect(&work);
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
  CarryOut(std::move(work));
}

bool PoolRunner::TakesCallsNow() const {
  absl::MutexLock lock(&mutex_);
  return TakesCalls();
}

PoolRunner::State PoolRunner::state() const {
  absl::MutexLock lock(&mutex_);
  return state_;
}

bool PoolRunner::deposed() const {
  absl::MutexLock lock(&mutex_);
  return deposed_;
}

std::pair<int, int> PoolRunner::Reached() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_ == nullptr ? std::make_pair(0, 0) : scheduler_->Reached();
}

std::map<std::string, int> PoolRunner::WaitingByQueue() const {
  absl::MutexLock lock(&mutex_);
  return scheduler_ == nullptr ? std::map<std::string, int>()
                               : scheduler_->waiting_by_queue();
}

MonoTime PoolRunner::active_since() const {
  absl::MutexLock lock(&mutex_);
  return active_since_;
}

}  // namespace figflow
