#ifndef SCHEDULING_POOL_SCHEDULER_H_
#define SCHEDULING_POOL_SCHEDULER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Scheduling/capacity_reservation.h"
#include "Scheduling/customer_limits.h"
#include "Scheduling/customer_usage.h"
#include "Scheduling/duration_model.h"
#include "Scheduling/open_orders.h"
#include "Scheduling/orders.h"
#include "Scheduling/pool_report.h"
#include "Scheduling/pool_scheduler_options.h"
#include "Scheduling/record_queue.h"
#include "Scheduling/worker_state.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

class FairSequence;
class MetricsRegistry;
enum class StagePlacement;
struct PlacementObstacles;
struct SchedulerMetrics;
struct WaitingStage;

// Schedules the work of one pool: holds its jobs and workers and decides which
// task runs where. Exists while this daemon owns the pool.
//
// Holds no lock, thread, clock or connection: the caller serializes calls,
// passes the time, carries out the output and reports responses. The sequence
// of durable writes and orders ensures the following:
// - a job is acknowledged, and an assignment ordered, only after the store
//   holds it, so the next owner knows every run that may exist;
// - an ended run is acknowledged to its worker only after the store holds the
//   effects of its result, so no result is lost;
// - a task starts elsewhere only after its run has ended, was stopped, or its
//   lease has certainly run out.
class PoolScheduler {
 public:
  using Options = PoolSchedulerOptions;

  PoolScheduler(Options options, MetricsRegistry& metrics, MonoTime now);
  ~PoolScheduler();
  PoolScheduler(const PoolScheduler&) = delete;
  PoolScheduler& operator=(const PoolScheduler&) = delete;

  // Loads the pool's jobs at a take-over. Records that cannot be read are
  // logged and left unchanged in the store. Releases each record as it is read.
  void Load(std::map<std::string, JobRecords> records,
            MonoTime now,
            WallTime wall);

  void SetPlan(std::shared_ptr<const FleetPlan> plan);
  // Leases that an earlier owner gave under longer limits are still waited for.
  void SetBounds(const ExecutionBounds& bounds);
  // Handles an incarnation of a worker that the registry lists now.
  void OnWorkerListed(const WorkerReport& report, MonoTime now);
  // Handles the removal of a worker from the registry, which proves nothing
  // about its runs.
  void OnWorkerUnlisted(const std::string& id, MonoTime now);
  // Handles a registry entry of a later worker on the instance of `worker`,
  // which proves that this incarnation, and all before it, have ended.
  void OnWorkerSuperseded(const WorkerKey& worker, MonoTime now);
  // Handles a report that a worker has ended. It gets no new tasks. Its runs
  // end by its own responses or with its lease: the report proves nothing about
  // them.
  void OnWorkerReportedEnded(const WorkerKey& worker, MonoTime now);

  // Submits a job. The response is part of the output once the outcome is
  // certain. A job for which the pool or the process lacks memory is refused at
  // once.
  void Submit(JobSpec spec,
              std::string spec_bytes,
              uint64_t token,
              MonoTime now,
              WallTime wall);
  // A job that `call` may not access counts as unknown.
  void Cancel(const std::string& job,
              const JobParty& call,
              uint64_t token,
              MonoTime now);
  void Cancel(const std::string& job, uint64_t token, MonoTime now) {
    Cancel(job, {}, token, now);
  }
  // Returns the state that the store holds, or none if there is no such job.
  std::optional<JobView> Query(const std::string& job) const;
  // Returns the state of a job that a daemon submits to another pool by its
  // plan, unless this pool has accepted it. Errors: kNotFound; kUnavailable
  // while the job is being written.
  Result<JobView> LookUp(const std::string& job,
                         uint64_t plan_version,
                         MonoTime now);
  // Returns whether a daemon with a later plan may have submitted the job to
  // another pool.
  bool IsSubmittedElsewhere(const std::string& id,
                            uint64_t plan_version,
                            MonoTime now) const;
  // Number of unstarted accepted jobs of a queue, without scheduled ones.
  int64_t CountPending(const std::string& queue) const;

  void OnStartResponse(const StartOrder& order,
                       const Result<OrderResponse>& answer,
                       MonoTime now);
  void OnStopResponse(const StopOrder& order,
                      const Result<OrderResponse>& answer,
                      MonoTime now);
  void OnHoldResponse(const HoldOrder& order,
                      const Result<HoldResponse>& answer,
                      MonoTime sent_at,
                      MonoTime now);

  void OnPolicyResponse(const PolicyQuery& question,
                        const Result<PolicyResponse>& answer,
                        MonoTime sent_at,
                        MonoTime now);
  void OnPaceResponse(const PaceOrder& order,
                      const Result<OrderResponse>& answer,
                      MonoTime now);

  // Returns up to `limit` records to write; empty if there are none. The write
  // must be carried out before the next call.
  std::vector<RecordWrite> TakeWrites(size_t limit);
  bool HasWrites() const { return records_.HasWrites(); }
  // Handles the completed write of the records of the last TakeWrites.
  void OnWritten(MonoTime now);
  // Handles the final refusal of that write by the store. Once the refused
  // record is known, its job is refused, or waits if it is stored.
  void OnWriteRefused(MonoTime now);
  size_t RefusedRecords() const { return records_.held_back(); }

  // Evacuates these workers and no others, as long as the evacuation is
  // requested at least every 2 s. Tasks of the workers in `lent` are not
  // stopped.
  void SetEvacuating(const std::set<std::string>& workers,
                     const std::set<std::string>& lent,
                     MonoTime now);
  // Makes perpetual tasks avoid these workers and no others, as long as this is
  // requested at least every 2 s.
  void SetEvacuatingLater(const std::set<std::string>& workers, MonoTime now);
  // Applies the grants for customers with a cap.
  void SetCustomerGrants(const CustomerGrantOrders& orders, MonoTime now);
  PoolReport Report(MonoTime now);
  // Loads of customers with a cap; what waits is as of the last report.
  CustomerLoadReport ReportCustomers(MonoTime now) const;
  // Number of waiting tasks that could start, by queue, as of the last report.
  const std::map<std::string, int>& waiting_by_queue() const {
    return waiting_by_queue_;
  }

  // Refuses the jobs that no write has included yet because the store does not
  // respond. None of them can ever run.
  void RefuseUnwrittenJobs(std::chrono::milliseconds retry_after, MonoTime now);

  // Sets whether start orders may be sent and leases renewed. Both are false
  // while this daemon is not certain to own the pool.
  void SetOrdersAllowed(bool starts_allowed, bool renewals_allowed);

  // Places waiting tasks and issues the orders that are due. Returns the time
  // of the next call.
  MonoTime Step(MonoTime now, WallTime wall);
  SchedulerOutput TakeOutput();

  // Ends the ownership and responds to all open requests. Jobs whose write was
  // never sent are refused, since they were certainly not accepted.
  void Abandon();

  size_t WorkMemoryInUse() const { return work_memory_->used(); }

  // Returns whether a worker is kept free for a large task.
  bool HasReservation() const { return reservation_.current().has_value(); }

  // A worker has reported that a later owner controls it.
  bool deposed() const { return deposed_; }
  // Number of listed workers, and of those that have responded to this owner.
  std::pair<int, int> Reached() const;
  // Returns the leases of the workers that have tasks and do not respond. Valid
  // for the next owner if no lease is granted after `now`.
  RemainingLeases LeasesOfUnreachedWorkers(MonoTime now) const;

 private:
  using WorkerMap = std::map<WorkerKey, std::unique_ptr<WorkerState>>;
  using JobMap = absl::flat_hash_map<std::string, std::shared_ptr<Job>>;

  // pool_scheduler_jobs.cc
  void LoadJob(const std::string& id,
               JobRecords record,
               MonoTime now,
               WallTime wall);
  void MarkChanged(const std::shared_ptr<Job>& job);
  void Finish(const std::shared_ptr<Job>& job, JobStatus status, MonoTime now);
  // Opens due occurrences: one of each job, and more as far as they fit.
  void OpenDueOccurrences(MonoTime now, WallTime wall);
  static void CountMemory(Job& job);
  void RefuseForSize(const JobSpec& spec,
                     const char* reason,
                     uint64_t token,
                     MonoTime now);
  void RemoveFinishedJobs(MonoTime now);
  void CompleteTask(const TaskRef& ref, MonoTime now);
  // Returns a task to the waiting ones. Its run cannot exist any more.
  void ReturnTask(const TaskRef& ref, MonoTime now);
  // Returns a task to the waiting ones although the result of its run is
  // unknown.
  void ReturnLostTask(const TaskRef& ref, MonoTime now);
  void AttachTask(const TaskRef& ref, WorkerState& worker);
  void DetachTask(const TaskRef& ref);
  int MaxAttempts(const Job& job) const;
  std::chrono::milliseconds PredictedDuration(const Job& job,
                                              const StageSpec& stage) const;
  // Adds work to the offered load and decays older work.
  void AddOfferedLoad(double millicore_ms, MonoTime now);

  // pool_scheduler_records.cc
  void OnJobDurable(const std::shared_ptr<Job>& job, MonoTime now);
  // Refuses a job that is certainly not in the store, and forgets it.
  void RefuseUnwrittenJob(const std::shared_ptr<Job>& job,
                          std::chrono::milliseconds retry_after,
                          const char* reason,
                          MonoTime now);
  void HoldBackRecord(const std::shared_ptr<Job>& job, MonoTime now);

  // pool_scheduler_workers.cc
  WorkerState* FindWorker(const WorkerKey& key);
  WorkerState& AddWorker(const WorkerKey& key, MonoTime now);
  // Returns the incarnation that responded at the worker's address, and adds it
  // if the registry does not list it yet.
  WorkerState& FindOrAddIncarnation(const WorkerState& worker,
                                    int64_t incarnation,
                                    MonoTime now);
  // Returns whether a later incarnation of the worker is known.
  bool HasLaterIncarnation(const WorkerReport& report) const;
  void ApplyStatus(WorkerState& worker,
                   const WorkerStatus& status,
                   MonoTime sent_at,
                   MonoTime now);
  void ApplyEndedRun(WorkerState& worker, const EndedRun& ended, MonoTime now);
  // Applies the result of the run that the task has on this worker.
  void ApplyCurrentRunResult(WorkerState& worker,
                             const TaskRef& ref,
                             const EndedRun& ended,
                             MonoTime now);
  // Applies the result of a run that was given up, or after which another owner
  // has planned a later one. Returns whether the result has any effect.
  bool ApplyEarlierRunResult(WorkerState& worker,
                             const TaskRef& ref,
                             const EndedRun& ended,
                             MonoTime now);
  // Keeps a reported checkpoint, unless it is too long for the job's record.
  void SaveCheckpoint(const TaskRef& ref, const std::string& checkpoint);
  // Completes the task or the whole gang, whatever the state of later runs.
  void CompleteByEarlierRun(const TaskRef& ref, MonoTime now);
  // Logs an ended run that is acknowledged to the worker although its result
  // has no effect.
  void LogResultWithoutEffect(const WorkerState& worker,
                              const EndedRun& ended,
                              const std::optional<TaskRef>& ref);
  void ApplyRunning(WorkerState& worker,
                    const WorkerStatus& status,
                    MonoTime sent_at,
                    MonoTime now);
  // Sets the pace of the fillers on a worker by the reported load of its
  // serving tasks.
  void AdjustFillerPace(WorkerState& worker,
                        const WorkerStatus& status,
                        MonoTime now);
  // Allows copies of an unresponsive worker's speculative tasks to start
  // elsewhere. The worker gets stop orders for its own runs as soon as it
  // responds.
  void ReleaseSpeculativeTasks(WorkerState& worker, MonoTime now);
  // Requests the stop of a run; its task stays out of the waiting ones until
  // the run has ended.
  void RequestStop(WorkerState& worker,
                   const TaskName& name,
                   uint32_t run,
                   const Resources& size,
                   MonoTime now);
  void RemoveStop(WorkerState& worker, const TaskName& name, uint32_t run);
  void StopJobTasks(const std::shared_ptr<Job>& job, MonoTime now);
  void OnResponseReceived(WorkerState& worker,
                          std::chrono::milliseconds clock,
                          MonoTime now);
  void OnResponseMissed(WorkerState& worker, MonoTime now);
  // Handles a response to an order, or its loss. Returns whether it is a
  // response of this incarnation of the worker, and of no later one.
  bool OnOrderResponse(WorkerState& worker,
                       const OrderTarget& target,
                       const Result<OrderResponse>& answer,
                       MonoTime now);
  // Handles a hold without a response, or without a report of the runs.
  void OnHoldMissed(WorkerState& worker,
                    const HoldOrder& order,
                    MonoTime sent_at,
                    MonoTime now);
  void AdvanceAcknowledged(WorkerState& worker);
  std::optional<TaskRef> FindTask(const TaskName& name) const;
  // Returns what a run of the task reserves on its worker, also if its
  // occurrence is closed; nothing if the job is unknown.
  Resources SizeOfTask(const TaskName& name) const;

  // pool_scheduler_ends.cc
  // Ends a worker whose next incarnation, or the next worker on whose instance,
  // is known. A copy of a start order may still reach a next incarnation with
  // the same id.
  void ReplaceWorker(WorkerState& earlier, WorkerState& next, MonoTime now);
  // Blocks the placement of a returned task until the worker refuses the task's
  // latest run.
  void BlockPlacement(const TaskRef& ref, WorkerState& worker, MonoTime now);
  // Records a start order without a response. Later incarnations of the worker
  // have to refuse its run.
  void RecordOpenOrder(const StartOrder& order, MonoTime now);
  // Lets a worker that was added refuse the runs that were ordered from earlier
  // incarnations.
  void StopOpenOrders(WorkerState& worker, MonoTime now);
  // Returns whether the worker was recently reported as ended and has not
  // responded since.
  bool IsReportedEnded(const WorkerKey& key, MonoTime now) const;
  // Uses a worker again that responds to a hold sent after its reported end.
  void RefuteReportedEnd(WorkerState& worker, MonoTime sent_at);
  // Ends a worker that certainly has no runs any more, and returns its tasks.
  // The proof is one of: its leases have run out; another incarnation responded
  // at its address; the registry lists a later one under its id or on its
  // instance.
  void EndWorker(WorkerState& worker, const char* cause, MonoTime now);
  // Returns the tasks of an unresponsive worker whose leases have run out. The
  // others wait until a next incarnation cannot run them any more either.
  void EndExpiredRuns(WorkerState& worker, MonoTime now);
  void ReturnLostTasks(WorkerState& worker,
                       const std::set<TaskRef>& tasks,
                       const char* cause,
                       MonoTime now);

  // pool_scheduler_failures.cc
  // Counts a failed run against the worker, or discounts all failures of a job
  // that fails wherever it runs.
  void AttributeFailure(const TaskRef& ref, WorkerState& worker, MonoTime now);
  void FailTask(const TaskRef& ref, WorkerState& worker, MonoTime now);
  // Counts a failed run. Returns whether it was the last attempt.
  bool CountFailure(const TaskRef& ref, uint32_t run, WorkerState& worker);
  void BreakGang(const TaskRef& ref, MonoTime now);

  // pool_scheduler_step.cc
  void CheckWorkers(MonoTime now);
  void IssueHold(WorkerState& worker, MonoTime now);
  bool NeedsHold(const WorkerState& worker) const;
  void IssueStops(WorkerState& worker, MonoTime now);
  void IssueStarts(WorkerState& worker, MonoTime now);
  std::optional<std::chrono::milliseconds> RenewedDeadline(WorkerState& worker,
                                                           MonoTime now);
  OrderTarget MakeOrderTarget(const WorkerState& worker, MonoTime now) const;
  // Notes that an order with a lease deadline is sent.
  void OnLeaseGranted(WorkerState& worker,
                      std::chrono::milliseconds answer_time,
                      MonoTime now) const;
  // Returns whether ended runs may be acknowledged: no later incarnation can
  // have a run of this owner by an order that is not confirmed yet.
  static bool MayAcknowledge(const WorkerState& worker);
  void Wake(MonoTime at);

  // pool_scheduler_evacuate.cc
  void Evacuate(WorkerState& worker, MonoTime now);
  // Returns whether figflow may make a perpetual task unavailable now: few
  // enough tasks of the stage are unavailable, and another worker can take this
  // one.
  bool MayStopPerpetual(const TaskRef& ref, MonoTime now);
  bool HasAlternativeWorker(const TaskRef& ref, MonoTime now);

  // pool_scheduler_large_tasks.cc
  // Returns the number of whole workers that waiting tasks need in addition.
  int CountFurtherWorkersForLargeTasks(MonoTime now);

  // pool_scheduler_reservation.cc
  struct ReservationScan;

  // pool_scheduler_customers.cc
  // Returns how many waiting tasks of a stage may start by the grant for the
  // job's customer. A gang may start as a whole or not at all.
  int CountWithinCap(const Job& job,
                     const StageSpec& spec,
                     int waiting,
                     MonoTime now) const;
  // Same for a report, beside the tasks that it has counted.
  int CountReportedWithinCap(const Job& job,
                             const StageSpec& spec,
                             int waiting,
                             MonoTime now);
  void LogCapWait(const TaskRef& stage, int waiting, MonoTime now);

  // pool_scheduler_shares.cc
  // Returns the sequence in which the stages are planned. It refers to the
  // names of customers in `stages`.
  FairSequence SequenceOf(std::vector<WaitingStage> stages) const;
  // Returns what each customer occupies, and jobs without a customer under the
  // empty name.
  std::map<std::string, Resources> OccupiedByCustomer() const;
  // Returns the capacity of the workers in use.
  Resources TotalCapacity() const;

  // pool_scheduler_dispatch.cc
  struct CandidateWorkers;
  struct ReadyStage;
  void Dispatch(MonoTime now);
  CandidateWorkers FindCandidateWorkers(MonoTime now);
  std::vector<ReadyStage> ReadyStages(MonoTime now);
  // Plans the waiting tasks of a stage as far as the free capacity allows.
  StagePlacement PlanStage(const ReadyStage& item,
                           CandidateWorkers& board,
                           MonoTime now);
  // Same, without the worker that is reserved for another stage.
  StagePlacement PlanBesideReservation(const ReadyStage& item,
                                       CandidateWorkers& board,
                                       ReservationScan& reservation);
  // Returns the number of tasks of the stage on each candidate worker.
  static std::vector<int> CountStageTasks(const ReadyStage& item,
                                          const CandidateWorkers& board);
  // Returns pairs of a task's index and a candidate worker's index.
  std::vector<std::pair<int, int>> ChooseWorkers(
      const ReadyStage& item,
      const std::vector<bool>& allowed,
      CandidateWorkers& board);
  // Same as ChooseWorkers for a stage whose tasks should share a rack; empty if
  // no rack has enough free capacity for all of them.
  std::vector<std::pair<int, int>> ChooseWorkersOnOneRack(
      const ReadyStage& item,
      const std::vector<bool>& allowed,
      CandidateWorkers& board);
  void LogPlacement(const ReadyStage& item,
                    const CandidateWorkers& board,
                    const std::vector<std::pair<int, int>>& chosen,
                    MonoTime now) const;
  void QueryPolicy(const ReadyStage& item,
                   const CandidateWorkers& board,
                   MonoTime now);
  // Returns whether the reasons why the stage waits may be logged now.
  bool TakeWaitLogTurn(Stage& stage, MonoTime now);
  void LogRecordWait(const ReadyStage& item, int waiting, MonoTime now);
  void LogWaitReasons(const ReadyStage& item,
                      const CandidateWorkers& board,
                      const PlacementObstacles& obstacles,
                      int waiting,
                      MonoTime now);

  Options options_;
  const std::unique_ptr<SchedulerMetrics> stats_;
  std::shared_ptr<const FleetPlan> plan_;
  // Maximum lease that any owner can have granted.
  std::chrono::milliseconds max_inherited_lease_;
  // Memory of this pool's jobs.
  const std::shared_ptr<WorkMemory> work_memory_;
  JobMap jobs_;
  // Jobs that were looked up and not found, by id.
  std::map<std::string, SubmittedElsewhere> submitted_elsewhere_;
  // Jobs that may have waiting tasks, and scheduled ones with more occurrences
  // to come.
  std::map<std::string, std::shared_ptr<Job>> open_jobs_;
  // Finished jobs by the time at which they finished.
  std::deque<std::shared_ptr<Job>> finished_jobs_;
  RecordQueue records_;
  WorkerMap workers_;
  CustomerUsage usage_;
  CapacityReservation reservation_;
  CustomerLimits limits_;
  // Workers that the instance controller has reported as ended.
  std::map<WorkerKey, ReportedEnd> reported_ends_;
  OpenOrders open_orders_;
  // Duration models by queue.
  std::map<std::string, DurationModel> durations_;
  // Work that arrived recently, in millicores times milliseconds, decaying.
  double offered_millicore_ms_ = 0;
  MonoTime offered_updated_at_;
  SchedulerOutput output_;
  MonoTime next_wake_ = MonoTime::max();
  const MonoTime activated_at_;
  std::map<std::string, int> waiting_by_queue_;
  // When a refusal for lack of memory was last logged.
  MonoTime refusal_logged_at_;
  // When the reasons why any stage waits were last logged.
  MonoTime wait_logged_at_;
  // A change may allow a waiting task to be placed.
  bool dispatch_needed_ = true;
  bool policy_query_in_flight_ = false;
  bool starts_allowed_ = true;
  bool renewals_allowed_ = true;
  bool deposed_ = false;
};

}  // namespace figflow

#endif  // SCHEDULING_POOL_SCHEDULER_H_
