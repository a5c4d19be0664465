#ifndef SCHEDULING_SCHEDULER_DRIVER_H_
#define SCHEDULING_SCHEDULER_DRIVER_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/metrics.h"
#include "Scheduling/pool_scheduler.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {

inline const MonoTime kStart = MonoTime(std::chrono::hours(1));

// A response to a hold that lists the run of `start`.
inline WorkerStatus Running(const StartOrder& start) {
  RunningTask running;
  running.name = start.task;
  running.run = start.run;
  running.percent = 50;
  WorkerStatus status;
  status.running = {running};
  return status;
}

// A response to a hold that lists the end of the run of `start`.
inline WorkerStatus Ended(const StartOrder& start,
                          RunResult how,
                          uint64_t number = 1) {
  EndedRun ended;
  ended.number = number;
  ended.name = start.task;
  ended.run = start.run;
  ended.end = how;
  WorkerStatus status;
  status.ended = {ended};
  return status;
}

// Drives the scheduler of a pool with a store that responds when the test
// triggers it, and workers whose responses the test writes.
class SchedulerDriver {
 public:
  // The memory of the process is unbounded if `process_memory` is null.
  explicit SchedulerDriver(MonoTime now,
                           uint64_t fence = 1,
                           std::shared_ptr<WorkMemory> process_memory = nullptr)
      : now_(now) {
    PoolScheduler::Options options;
    options.pool = "p";
    options.fence = fence;
    options.process_memory = std::move(process_memory);
    scheduler_ = std::make_unique<PoolScheduler>(options, metrics_, now_);
    auto plan = std::make_shared<FleetPlan>();
    QueueConfig queue;
    queue.name = "q";
    queue.pool = "p";
    queue.max_attempts = 2;
    plan->queues = {queue};
    scheduler_->SetPlan(plan);
  }

  PoolScheduler& scheduler() { return *scheduler_; }
  MonoTime now() const { return now_; }
  MetricsRegistry& metrics() { return metrics_; }

  void Load(const std::map<std::string, JobRecords>& records) {
    scheduler_->Load(records, now_, wall_);
  }

  void ListWorker(const std::string& id, int64_t incarnation = 1) {
    WorkerReport report;
    report.key = {id, incarnation};
    report.pool = "p";
    report.instance = absl::StrCat("instance-of-", id);
    report.capacity = {1'000, 1'000, 0};
    scheduler_->OnWorkerListed(report, now_);
    Step();
  }

  // Returns a job of one task that fills a worker.
  static JobSpec OneTask(const std::string& job) {
    JobSpec spec;
    spec.id = job;
    spec.queue = "q";
    StageSpec stage;
    stage.count = 1;
    stage.per_task = {1'000, 1'000, 0};
    stage.estimate = std::chrono::milliseconds(500);
    spec.stages = {stage};
    return spec;
  }
  void Submit(const std::string& job) { Submit(OneTask(job)); }
  void Submit(const JobSpec& spec) {
    scheduler_->Submit(spec, FormatJobSpec(spec), 1, now_, wall_);
    Step();
  }

  void Advance(std::chrono::milliseconds passed) {
    now_ += passed;
    wall_ += passed;
    Step();
  }

  // Steps the scheduler and keeps its orders until the test reads them.
  void Step() {
    scheduler_->Step(now_, wall_);
    SchedulerOutput output = scheduler_->TakeOutput();
    for (StartOrder& start : output.starts) {
      starts.push_back(std::move(start));
    }
    for (HoldOrder& hold : output.holds) {
      const std::string worker = hold.target.worker.id;
      holds_[worker] = {std::move(hold), now_};
    }
    for (StopOrder& stop : output.stops) {
      stops.push_back(std::move(stop));
    }
    for (PolicyQuery& query : output.questions) {
      queries.push_back(std::move(query));
    }
    for (SubmitResponse& response : output.submit_responses) {
      submit_responses.push_back(std::move(response));
    }
  }

  // Lets the store accept all pending writes. Returns the records.
  std::vector<RecordWrite> Write() { return WriteUnless(""); }
  // Same, but lets the store refuse the write if it has a record of this job.
  std::vector<RecordWrite> WriteUnless(const std::string& refused) {
    std::vector<RecordWrite> writes = scheduler_->TakeWrites(28);
    const bool refuse = std::any_of(
        writes.begin(), writes.end(),
        [&](const RecordWrite& write) { return write.job == refused; });
    if (refuse) {
      scheduler_->OnWriteRefused(now_);
      Step();
      return {};
    }
    for (const RecordWrite& write : writes) {
      JobRecords& record = records_[write.job];
      if (write.kind == RecordWrite::Kind::kAccepted) {
        record.accepted = write.value;
      } else {
        record.progress = write.value;
      }
    }
    scheduler_->OnWritten(now_);
    Step();
    return writes;
  }
  const std::map<std::string, JobRecords>& records() const { return records_; }

  // Returns the hold in flight to the worker, if there is one.
  std::optional<HoldOrder> Hold(const std::string& worker) const {
    const auto hold = holds_.find(worker);
    return hold == holds_.end() ? std::nullopt
                                : std::make_optional(hold->second.order);
  }
  MonoTime HoldSentAt(const std::string& worker) const {
    return holds_.at(worker).sent_at;
  }
  // Returns whether a hold is in flight whose response timeout has passed.
  bool HoldTimedOut(const std::string& worker) const {
    const auto hold = holds_.find(worker);
    return hold != holds_.end() &&
           now_ >= hold->second.sent_at + hold->second.order.answer_time;
  }

  // Delivers a response to the hold in flight to the worker.
  void RespondToHold(const std::string& worker, const WorkerStatus& status) {
    HoldResponse answer;
    answer.status = status;
    answer.status.clock = WorkerClockNow();
    const SentHold hold = holds_.at(worker);
    holds_.erase(worker);
    scheduler_->OnHoldResponse(hold.order, answer, hold.sent_at, now_);
    Step();
  }

  void DropHoldResponse(const std::string& worker) {
    const SentHold hold = holds_.at(worker);
    holds_.erase(worker);
    scheduler_->OnHoldResponse(
        hold.order,
        Fail(ErrorCode::kUnknownOutcome, "worker.hold", worker, "lost"),
        hold.sent_at, now_);
    Step();
  }

  // Fails a start order without a response.
  void DropStartResponse(const StartOrder& order) {
    scheduler_->OnStartResponse(
        order,
        Fail(ErrorCode::kDeadlineExceeded, "worker.start",
             order.target.worker.id, "lost"),
        now_);
    Step();
  }
  // Fails the latest start order without a response.
  void DropStartResponse() { DropStartResponse(StartOrder(starts.back())); }

  // Fails a stop order without a response.
  void DropStopResponse(const StopOrder& order) {
    scheduler_->OnStopResponse(order,
                               Fail(ErrorCode::kDeadlineExceeded, "worker.stop",
                                    order.target.worker.id, "lost"),
                               now_);
    Step();
  }

  // Accepts a start order.
  void RespondToStart(const StartOrder& order) {
    RespondToStart(order, WorkerClockNow());
  }
  // Same with this reading of the worker's clock.
  void RespondToStart(const StartOrder& order,
                      std::chrono::milliseconds clock) {
    OrderResponse answer;
    answer.clock = clock;
    scheduler_->OnStartResponse(order, answer, now_);
    Step();
  }
  // Refuses a start order.
  void RefuseStart(const StartOrder& order, OrderOutcome outcome) {
    OrderResponse answer;
    answer.answer = outcome;
    answer.clock = WorkerClockNow();
    scheduler_->OnStartResponse(order, answer, now_);
    Step();
  }
  // Lets the placement policy allow all workers of the latest query.
  void RespondToQuery() {
    const PolicyQuery query = queries.back();
    PolicyResponse answer;
    answer.lifetime = std::chrono::seconds(3);
    for (const WorkerKey& worker : query.workers) {
      answer.allowed.push_back({worker.id, "ticket"});
    }
    scheduler_->OnPolicyResponse(query, answer, now_, now_);
    Step();
  }
  // Accepts the latest start order and returns it.
  StartOrder RespondToStart() {
    StartOrder order = starts.back();
    RespondToStart(order);
    return order;
  }

  // Accepts the latest stop order.
  void RespondToStop() { RespondToStop(WorkerClockNow()); }
  // Same with this reading of the worker's clock.
  void RespondToStop(std::chrono::milliseconds clock) {
    OrderResponse answer;
    answer.clock = clock;
    scheduler_->OnStopResponse(stops.back(), answer, now_);
    Step();
  }

  std::vector<StartOrder> starts;
  std::vector<StopOrder> stops;
  std::vector<PolicyQuery> queries;
  std::vector<SubmitResponse> submit_responses;

 private:
  struct SentHold {
    HoldOrder order;
    MonoTime sent_at;
  };

  // All workers' clocks began with this one.
  std::chrono::milliseconds WorkerClockNow() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now_.time_since_epoch());
  }

  MetricsRegistry metrics_;
  MonoTime now_;
  WallTime wall_ = FromEpoch(std::chrono::milliseconds(1'700'000'000'000));
  std::unique_ptr<PoolScheduler> scheduler_;
  std::map<std::string, SentHold> holds_;
  std::map<std::string, JobRecords> records_;
};

}  // namespace figflow::test

#endif  // SCHEDULING_SCHEDULER_DRIVER_H_
