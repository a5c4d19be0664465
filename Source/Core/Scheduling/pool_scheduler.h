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
#include "Scheduling/duration_model.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/job.h"
#include "Scheduling/orders.h"
#include "Scheduling/pool_report.h"
#include "Scheduling/worker_state.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

class MetricsRegistry;
struct SchedulerMetrics;

// Records of one job in the store.
struct JobRecords {
  std::string accepted;
  // Later than the progress in `accepted`; empty if there is none.
  std::string progress;
};

// The work of one pool: its jobs, its workers and what runs where. Exists while
// this daemon owns the pool.
//
// Holds no lock, thread, clock or connection: the caller serializes calls,
// passes the time, carries out the output and reports answers. The order of
// durable writes and orders is what keeps the promises:
// - a job is acknowledged, and an assignment ordered, only after the store
//   holds it, so a successor knows every run that may exist;
// - an end is acknowledged to its worker only after the store holds what
//   follows from it, so no end is lost;
// - a task starts elsewhere only after its run has ended, was stopped, or its
//   lease has certainly run out.
class PoolScheduler {
 public:
  struct Options {
    std::string pool;
    ExecutionBounds bounds;
    // Orders of earlier owners are refused by workers that have seen it.
    uint64_t fence = 0;
    // How long an earlier owner may go on renewing leases after this one took
    // over, on workers that only the earlier one reaches.
    std::chrono::milliseconds earlier_owner_grace{0};
  };

  PoolScheduler(Options options, MetricsRegistry& metrics, MonoTime now);
  ~PoolScheduler();
  PoolScheduler(const PoolScheduler&) = delete;
  PoolScheduler& operator=(const PoolScheduler&) = delete;

  // Takes over the pool's jobs. Records that cannot be read are logged and left
  // alone in the store.
  void Load(const std::map<std::string, JobRecords>& records,
            MonoTime now,
            WallTime wall);

  void SetPlan(std::shared_ptr<const FleetPlan> plan);
  // The platform's bounds have changed. Longer leases that an earlier owner
  // gave under the earlier ones are still waited for.
  void SetBounds(const ExecutionBounds& bounds);
  // The registry lists this life of a worker now.
  void OnWorkerListed(const WorkerReport& report, MonoTime now);
  // The registry has dropped it, which proves nothing about what it runs.
  void OnWorkerUnlisted(const std::string& id, MonoTime now);

  // The worker's instance has been given to another worker, or switched off.
  void OnWorkerEnded(const std::string& id, MonoTime now);

  // Takes a job. The reply comes with the output, once it is certain.
  void Submit(JobSpec spec,
              std::string spec_bytes,
              uint64_t token,
              MonoTime now,
              WallTime wall);
  void Cancel(const std::string& job, uint64_t token, MonoTime now);
  // The state that the store holds; none if there is no such job.
  std::optional<JobView> Query(const std::string& job) const;
  // Accepted jobs of a queue of which no task has started, without scheduled
  // ones.
  int64_t CountPending(const std::string& queue) const;

  void OnStartAnswer(const StartOrder& order,
                     const Result<OrderAnswer>& answer,
                     MonoTime now);
  void OnStopAnswer(const StopOrder& order,
                    const Result<OrderAnswer>& answer,
                    MonoTime now);
  void OnHoldAnswer(const HoldOrder& order,
                    const Result<HoldAnswer>& answer,
                    MonoTime sent_at,
                    MonoTime now);

  void OnPolicyAnswer(const PolicyQuestion& question,
                      const Result<PolicyAnswer>& answer,
                      MonoTime sent_at,
                      MonoTime now);
  void OnPaceAnswer(const PaceOrder& order,
                    const Result<OrderAnswer>& answer,
                    MonoTime now);

  // Up to `limit` records that wait to be written; empty if there is nothing
  // to write. The write must be carried out before the next call.
  std::vector<RecordWrite> TakeWrites(size_t limit);
  bool HasWrites() const;
  // The store holds the records of the last TakeWrites.
  void OnWritten(MonoTime now);

  // Empties these workers and no others, as long as it is asked for at least
  // every 2 s.
  void SetEvacuating(const std::set<std::string>& workers, MonoTime now);
  // Perpetual tasks avoid these workers and no others, as long as it is asked
  // for at least every 2 s.
  void SetLeavingLater(const std::set<std::string>& workers, MonoTime now);
  PoolReport Report(MonoTime now);
  // Tasks that could start and wait, by queue, as of the last report.
  const std::map<std::string, int>& waiting_by_queue() const {
    return waiting_by_queue_;
  }

  // Refuses the jobs that no write has included yet: the store does not answer.
  // None of them can ever run.
  void RefuseUnwritten(std::chrono::milliseconds retry_after, MonoTime now);

  // Orders may be sent and leases renewed. False while this daemon is not
  // certain to own the pool.
  void SetMayOrder(bool may_start, bool may_renew);

  // Places waiting tasks and issues what is due. Returns when it wants to be
  // called again.
  MonoTime Step(MonoTime now, WallTime wall);
  SchedulerOutput TakeOutput();

  // Ends the ownership: answers all open requests. Jobs whose write was never
  // sent were certainly not taken.
  void Abandon();

  // A worker has answered that a later owner commands it.
  bool deposed() const { return deposed_; }
  // Workers listed now, and those of them that have answered this owner.
  std::pair<int, int> Reached() const;

 private:
  using WorkerMap = std::map<WorkerKey, std::unique_ptr<WorkerState>>;
  using JobMap = absl::flat_hash_map<std::string, std::shared_ptr<Job>>;

  // pool_scheduler_jobs.cc
  void LoadJob(const std::string& id,
               const JobRecords& record,
               MonoTime now,
               WallTime wall);
  void MarkChanged(const std::shared_ptr<Job>& job);
  void Finish(const std::shared_ptr<Job>& job, JobStatus status, MonoTime now);
  void OpenDueOccurrences(MonoTime now, WallTime wall);
  void ForgetFinished(MonoTime now);
  void CompleteTask(const TaskRef& ref, MonoTime now);
  // Returns a task to the waiting ones. Its run cannot exist any more.
  void ReturnTask(const TaskRef& ref, MonoTime now);
  // Returns a task whose run has ended in a way that is not known.
  void ReturnLostTask(const TaskRef& ref, MonoTime now);
  void AttachTask(const TaskRef& ref, WorkerState& worker);
  void DetachTask(const TaskRef& ref);
  int MaxAttempts(const Job& job) const;
  std::chrono::milliseconds PredictedDuration(const Job& job,
                                              const StageSpec& stage) const;
  // Adds work to the offered load, and lets older work fade.
  void AddOffered(double millicore_ms, MonoTime now);

  // pool_scheduler_records.cc
  void OnJobDurable(const std::shared_ptr<Job>& job, MonoTime now);

  // pool_scheduler_workers.cc
  WorkerState* FindWorker(const WorkerKey& key);
  WorkerState& AddWorker(const WorkerKey& key, MonoTime now);
  // A life that has answered at the worker's address, and that the registry may
  // not list yet.
  WorkerState& NextLife(const WorkerState& worker,
                        int64_t incarnation,
                        MonoTime now);
  void ApplyStatus(WorkerState& worker,
                   const WorkerStatus& status,
                   MonoTime sent_at,
                   MonoTime now);
  void ApplyEnd(WorkerState& worker, const EndedRun& end, MonoTime now);
  // The run is the one that the task has on this worker.
  void ApplyCurrentEnd(WorkerState& worker,
                       const TaskRef& ref,
                       const EndedRun& end,
                       MonoTime now);
  // The run was given up, or another owner has planned a later one. Returns
  // whether anything follows from its end.
  bool ApplyEarlierEnd(WorkerState& worker,
                       const TaskRef& ref,
                       const EndedRun& end,
                       MonoTime now);
  // Completes the task, or the whole gang, whatever became of later runs.
  void CompleteByEarlierRun(const TaskRef& ref, MonoTime now);
  // The worker is told to forget the end although nothing follows from it.
  void LogEndWithoutEffect(const WorkerState& worker,
                           const EndedRun& end,
                           const std::optional<TaskRef>& ref);
  void ApplyRunning(WorkerState& worker,
                    const WorkerStatus& status,
                    MonoTime sent_at,
                    MonoTime now);
  void FailTask(const TaskRef& ref, WorkerState& worker, MonoTime now);
  // Counts a failed run. Returns whether it was the last attempt.
  bool CountFailure(const TaskRef& ref, uint32_t run, WorkerState& worker);
  // Sets the pace of the fillers on a worker by what its serving tasks report.
  void AdjustPace(WorkerState& worker,
                  const WorkerStatus& status,
                  MonoTime now);
  // Lets copies of a silent worker's speculative tasks start elsewhere. The
  // worker is told to stop its own as soon as it answers.
  void ReleaseSpeculative(WorkerState& worker, MonoTime now);
  void BreakGang(const TaskRef& ref, MonoTime now);
  // The next life of a worker, or of its instance, is known. A copy of a start
  // order may still reach a next life that has the same id.
  void ReplaceWorker(WorkerState& earlier, WorkerState& next, MonoTime now);
  // Keeps a task that was returned from being placed until the worker refuses
  // the task's latest run.
  void HoldBack(const TaskRef& ref, WorkerState& worker, MonoTime now);
  // The worker runs nothing any more.
  void EndWorker(WorkerState& worker, const char* cause, MonoTime now);
  // Ends a run for good; the task stays out of the waiting ones until then.
  void RequestStop(WorkerState& worker,
                   const TaskName& name,
                   uint32_t run,
                   const Resources& size,
                   MonoTime now);
  void EndStop(WorkerState& worker, const TaskName& name, uint32_t run);
  void StopJobTasks(const std::shared_ptr<Job>& job, MonoTime now);
  void OnAnswered(WorkerState& worker,
                  std::chrono::milliseconds clock,
                  MonoTime now);
  void OnUnanswered(WorkerState& worker, MonoTime now);
  void AdvanceNotes(WorkerState& worker);
  std::optional<TaskRef> FindTask(const TaskName& name) const;

  // pool_scheduler_step.cc
  void CheckWorkers(MonoTime now);
  void IssueHold(WorkerState& worker, MonoTime now);
  bool WantsHold(const WorkerState& worker) const;
  void IssueStops(WorkerState& worker, MonoTime now);
  void IssueStarts(WorkerState& worker, MonoTime now);
  std::optional<std::chrono::milliseconds> RenewedDeadline(WorkerState& worker,
                                                           MonoTime now);
  OrderTarget TargetOf(const WorkerState& worker) const;
  void Wake(MonoTime at);

  // pool_scheduler_evacuate.cc
  void Evacuate(WorkerState& worker, MonoTime now);
  // Whether figflow may make a perpetual task unavailable now.
  // Few enough tasks of the stage are away, and another worker may take this
  // one.
  bool MayStopPerpetual(const TaskRef& ref, MonoTime now);
  bool HasAnotherPlace(const TaskRef& ref, MonoTime now);

  // pool_scheduler_dispatch.cc
  struct Board;
  struct ReadyStage;
  void Dispatch(MonoTime now);
  Board UsableWorkers(MonoTime now);
  // In the order in which they are to be placed.
  std::vector<ReadyStage> ReadyStages(MonoTime now);
  // Plans the waiting tasks of a stage as far as there is room. Returns whether
  // all of them have a worker.
  bool PlanStage(const ReadyStage& item, Board& board, MonoTime now);
  // Tasks of the stage on each worker of the board.
  static std::vector<int> StageTasks(const ReadyStage& item,
                                     const Board& board);
  // Pairs of a task's index and a worker's place on the board.
  std::vector<std::pair<int, int>> ChooseWorkers(
      const ReadyStage& item,
      const std::vector<bool>& allowed,
      Board& board);
  // As above for a stage whose tasks should share a rack; empty if no rack has
  // room for all of them.
  std::vector<std::pair<int, int>> ChooseOnOneRack(
      const ReadyStage& item,
      const std::vector<bool>& allowed,
      Board& board);
  void LogPlaced(const ReadyStage& item,
                 const Board& board,
                 const std::vector<std::pair<int, int>>& chosen,
                 MonoTime now) const;
  void AskPolicy(const ReadyStage& item, const Board& board, MonoTime now);
  void ExplainWait(const ReadyStage& item,
                   const Board& board,
                   const std::vector<bool>& allowed,
                   int waiting,
                   MonoTime now);

  Options options_;
  const std::unique_ptr<SchedulerMetrics> stats_;
  std::shared_ptr<const FleetPlan> plan_;
  // Longest lease that any owner can have given.
  std::chrono::milliseconds longest_inherited_lease_;
  JobMap jobs_;
  // Jobs that may have waiting tasks, and scheduled ones with more to come.
  std::map<std::string, std::shared_ptr<Job>> open_jobs_;
  // Finished jobs in the order in which they finished.
  std::deque<std::shared_ptr<Job>> finished_;
  std::deque<std::string> removals_;
  std::deque<std::shared_ptr<Job>> changed_;
  std::vector<std::shared_ptr<Job>> writing_;
  WorkerMap workers_;
  // Latest life that the keeper of the instances has called ended, by id.
  struct EndedLife {
    int64_t incarnation = 0;
    MonoTime told_at;
  };
  std::map<std::string, EndedLife> ended_workers_;
  // By queue.
  std::map<std::string, DurationModel> durations_;
  // Work that arrived lately, in millicores times milliseconds, decaying.
  double offered_ = 0;
  MonoTime offered_at_;
  SchedulerOutput output_;
  MonoTime next_wake_ = MonoTime::max();
  const MonoTime activated_;
  std::map<std::string, int> waiting_by_queue_;
  // When it was last logged why something waits.
  MonoTime explained_at_;
  // Something changed that may let a waiting task be placed.
  bool dispatch_wanted_ = true;
  bool may_start_ = true;
  bool may_renew_ = true;
  bool deposed_ = false;
};

}  // namespace figflow

#endif  // SCHEDULING_POOL_SCHEDULER_H_
