// Places waiting tasks on workers.
#include <algorithm>
#include <limits>
#include <utility>

#include "Scheduling/fair_share.h"
#include "Scheduling/pool_scheduler.h"
#include "Scheduling/pool_scheduler_dispatch.h"
#include "Scheduling/pool_scheduler_reservation.h"
#include "Scheduling/record_size.h"

namespace figflow {
namespace {

// A pool of which half is in use counts as full after this many stages that
// wait for free capacity; the next ended run or step scans the stages again.
constexpr int kMaxStagesWithoutCapacity = 32;
// Maximum number of stages for which one scan looks for a worker to reserve.
constexpr int kMaxReservationTries = 8;
// Less than any task requests.
constexpr Resources kNoRoom{-1, -1, -1};

// Maximum number of workers in one query to the policy service, which takes
// time for each of them.
constexpr size_t kMaxQueryWorkers = 30;

// Returns whether no member of a gang is assigned. A gang starts as a whole, so
// none of its members may still have a worker.
bool GangIsFree(const Stage& stage) {
  return std::all_of(
      stage.tasks.begin(), stage.tasks.end(),
      [](const Task& task) { return task.phase == TaskPhase::kWaiting; });
}

int CountNewTasks(const Stage& stage) {
  return static_cast<int>(
      std::count_if(stage.tasks.begin(), stage.tasks.end(),
                    [](const Task& task) { return task.run == 0; }));
}

}  // namespace

void PoolScheduler::CandidateWorkers::Add(WorkerState& worker, MonoTime now) {
  WorkerOption option;
  option.report = &worker.report;
  option.room = worker.FreeCapacity();
  option.recently_failed = worker.health.RecentlyFailed(now);
  option.evacuate_later = now < worker.evacuate_later_until;
  option.perpetual_tasks = worker.CountPerpetualTasks();
  options.push_back(option);
  workers.push_back(&worker);
}

bool PoolScheduler::CandidateWorkers::IsHalfUsed() const {
  Resources capacity;
  Resources room;
  for (const WorkerOption& option : options) {
    capacity += option.report->capacity;
    room += option.room;
  }
  const auto half_used = [](int64_t free, int64_t total) {
    return total > 0 && 2 * free <= total;
  };
  return half_used(room.cpu_millicores, capacity.cpu_millicores) ||
         half_used(room.memory_mb, capacity.memory_mb);
}

Resources PoolScheduler::ReadyStage::Demand() const {
  return ReservedResources(Spec()) * GetStage().waiting;
}

PoolScheduler::CandidateWorkers PoolScheduler::FindCandidateWorkers(
    MonoTime now) {
  CandidateWorkers board;
  std::vector<WorkerState*> excluded;
  for (auto& [key, worker] : workers_) {
    const bool usable = worker->IsInUse() && worker->IsReached() &&
                        !worker->report.draining && !worker->evacuating;
    if (!usable) {
      continue;
    }
    if (worker->health.Excluded(now)) {
      excluded.push_back(worker.get());
      continue;
    }
    board.Add(*worker, now);
  }
  const bool last_resort = board.workers.empty();
  for (WorkerState* worker : excluded) {
    const MonoTime usable_at = last_resort ? worker->health.last_resort_from()
                                           : worker->health.excluded_until();
    if (now >= usable_at) {
      board.Add(*worker, now);
      continue;
    }
    Wake(usable_at);
    dispatch_needed_ = true;
  }
  return board;
}

std::vector<PoolScheduler::ReadyStage> PoolScheduler::ReadyStages(
    MonoTime now) {
  std::vector<ReadyStage> ready;
  for (const auto& [id, job] : open_jobs_) {
    if (job->record_held_until) {
      // An assignment could not become durable.
      continue;
    }
    const QueueConfig* queue = plan_->FindQueueByName(job->spec.queue);
    for (const auto& [number, occurrence] : job->occurrences) {
      std::optional<DispatchRank> rank;
      for (size_t i = 0; i < occurrence.stages.size(); ++i) {
        if (!IsStageReady(*job, occurrence, i)) {
          continue;
        }
        if (!rank) {
          rank = ComputeDispatchRank(*job, occurrence, queue,
                                     durations_[job->spec.queue], now);
        }
        ready.push_back({*rank, job, number, static_cast<int>(i), queue});
      }
    }
  }
  return ready;
}

void PoolScheduler::Dispatch(MonoTime now) {
  CandidateWorkers board = FindCandidateWorkers(now);
  ReservationScan reservation{*this, board.workers, now, kMaxReservationTries};
  reservation.CheckReservation();
  if (board.options.empty()) {
    return;
  }
  int without_capacity = 0;
  const std::vector<ReadyStage> ready = ReadyStages(now);
  std::vector<WaitingStage> waiting;
  waiting.reserve(ready.size());
  for (const ReadyStage& item : ready) {
    waiting.push_back({item.rank, item.job->spec.customer, item.Demand()});
  }
  FairSequence sequence = SequenceOf(std::move(waiting));
  while (const std::optional<size_t> next = sequence.Next()) {
    const ReadyStage& item = ready[*next];
    if (item.Spec().gang && !GangIsFree(item.GetStage())) {
      sequence.DiscountLast();
      continue;
    }
    // Stages that wait for a label, a limit or a ticket say nothing about the
    // free capacity, and perpetual ones start wherever they fit.
    const StagePlacement placement =
        PlanBesideReservation(item, board, reservation);
    if (placement == StagePlacement::kWaits) {
      sequence.DiscountLast();
    }
    const bool waits_for_capacity =
        placement == StagePlacement::kWaitsForCapacity &&
        !item.Spec().perpetual;
    without_capacity += waits_for_capacity ? 1 : 0;
    if (without_capacity > kMaxStagesWithoutCapacity && board.IsHalfUsed()) {
      return;
    }
  }
}

StagePlacement PoolScheduler::PlanBesideReservation(
    const ReadyStage& item,
    CandidateWorkers& board,
    ReservationScan& reservation) {
  const TaskRef stage{item.job, item.occurrence, item.stage, 0};
  const int kept = reservation.FindWorkerKeptFrom(stage, item.rank.urgency);
  const int waiting = item.GetStage().waiting;
  Resources room;
  if (kept >= 0) {
    room = std::exchange(board.options[kept].room, kNoRoom);
  }
  const StagePlacement placement = PlanStage(item, board, reservation.now);
  if (kept >= 0) {
    board.options[kept].room = room;
  }
  reservation.OnStagePlanned(stage, item.rank.urgency,
                             item.GetStage().waiting < waiting,
                             placement == StagePlacement::kWaitsForCapacity);
  return placement;
}

std::vector<int> PoolScheduler::CountStageTasks(const ReadyStage& item,
                                                const CandidateWorkers& board) {
  const Stage& stage = item.GetStage();
  std::vector<int> counts(board.workers.size());
  for (size_t i = 0; i < board.workers.size(); ++i) {
    const WorkerState* worker = board.workers[i];
    const auto count = stage.on_worker.find(worker);
    counts[i] = count == stage.on_worker.end() ? 0 : count->second;
    if (item.Spec().max_per_worker == 0) {
      continue;
    }
    // A run that is being stopped may still exist beside a later run of its
    // task.
    for (const auto& [key, stop] : worker->stops) {
      const bool of_stage = stop.task.job == item.job->spec.id &&
                            stop.task.occurrence == item.occurrence &&
                            stop.task.stage == item.stage;
      if (!of_stage) {
        continue;
      }
      const Task& task = stage.tasks[stop.task.index];
      if (task.worker != worker || task.run != stop.run) {
        ++counts[i];
      }
    }
  }
  return counts;
}

bool PoolScheduler::HasAlternativeWorker(const TaskRef& ref, MonoTime now) {
  const StageSpec& spec = ref.Spec();
  const Stage& stage = ref.GetStage();
  // A waiting task already takes the first place that becomes free.
  if (stage.waiting > 0) {
    return false;
  }
  // Tasks that are being stopped need a place as well.
  auto needed =
      1 +
      std::count_if(
          stage.tasks.begin(), stage.tasks.end(), [&](const Task& task) {
            const TaskRef other{ref.job, ref.occurrence, ref.stage,
                                static_cast<int>(&task - stage.tasks.data())};
            return task.worker != nullptr &&
                   task.worker->HasStop(other.Name(), task.run);
          });
  CandidateWorkers board = FindCandidateWorkers(now);
  const ReadyStage item{{}, ref.job, ref.occurrence, ref.stage, nullptr};
  std::vector<int> stage_tasks = CountStageTasks(item, board);
  for (; needed > 0; --needed) {
    const int worker = ChooseWorker({&spec, &ref.Get().failed_on, nullptr},
                                    board.options, stage_tasks);
    if (worker < 0) {
      return false;
    }
    board.options[worker].room -= ReservedResources(spec);
    ++stage_tasks[worker];
  }
  return true;
}

std::vector<std::pair<int, int>> PoolScheduler::ChooseWorkers(
    const ReadyStage& item,
    const std::vector<bool>& allowed,
    CandidateWorkers& board) {
  Stage& stage = item.GetStage();
  const StageSpec& spec = item.Spec();
  std::vector<int> stage_tasks = CountStageTasks(item, board);
  std::vector<std::pair<int, int>> chosen;
  int new_tasks = 0;
  for (int k = 0; k < spec.count; ++k) {
    const Task& task = stage.tasks[k];
    const bool is_new = task.run == 0;
    if (task.phase != TaskPhase::kWaiting ||
        (is_new && new_tasks == board.max_new_tasks)) {
      continue;
    }
    if (static_cast<int>(chosen.size()) == board.max_tasks) {
      break;
    }
    const int worker = ChooseWorker({&spec, &task.failed_on, &allowed},
                                    board.options, stage_tasks);
    if (worker < 0) {
      break;
    }
    board.options[worker].room -= ReservedResources(spec);
    board.options[worker].perpetual_tasks += spec.perpetual ? 1 : 0;
    ++stage_tasks[worker];
    chosen.emplace_back(k, worker);
    new_tasks += is_new ? 1 : 0;
  }
  return chosen;
}

std::vector<std::pair<int, int>> PoolScheduler::ChooseWorkersOnOneRack(
    const ReadyStage& item,
    const std::vector<bool>& allowed,
    CandidateWorkers& board) {
  std::set<std::string> racks;
  for (const WorkerOption& option : board.options) {
    racks.insert(option.report->rack);
  }
  for (const std::string& rack : racks) {
    std::vector<bool> on_rack = allowed;
    for (size_t i = 0; i < board.options.size(); ++i) {
      on_rack[i] = allowed[i] && board.options[i].report->rack == rack;
    }
    CandidateWorkers trial = board;
    std::vector<std::pair<int, int>> chosen =
        ChooseWorkers(item, on_rack, trial);
    if (static_cast<int>(chosen.size()) == item.GetStage().waiting) {
      board = std::move(trial);
      return chosen;
    }
  }
  return {};
}

StagePlacement PoolScheduler::PlanStage(const ReadyStage& item,
                                        CandidateWorkers& board,
                                        MonoTime now) {
  Stage& stage = item.GetStage();
  const StageSpec& spec = item.Spec();
  board.max_tasks = CountWithinCap(*item.job, spec, stage.waiting, now);
  if (board.max_tasks == 0) {
    LogCapWait({item.job, item.occurrence, item.stage, 0}, stage.waiting, now);
    return StagePlacement::kWaits;
  }
  const int new_tasks = CountNewTasks(stage);
  if (now >= item.job->record_limited_until) {
    item.job->record_limit = std::numeric_limits<size_t>::max();
  }
  board.max_new_tasks = CountTasksThatFitRecord(
      *item.job, spec,
      std::min(options_.bounds.max_record_bytes, item.job->record_limit));
  const bool has_policy =
      (item.queue != nullptr && item.queue->policy) || stage.advice.required();
  std::vector<bool> allowed(board.workers.size(), true);
  if (has_policy) {
    for (size_t i = 0; i < board.workers.size(); ++i) {
      allowed[i] =
          !stage.advice.TicketFor(board.workers[i]->report.key, now).empty();
    }
  }
  std::vector<std::pair<int, int>> chosen;
  if (spec.same_rack) {
    chosen = ChooseWorkersOnOneRack(item, allowed, board);
  }
  if (chosen.empty()) {
    // Chooses on a copy, so that a gang that does not fit leaves the free
    // capacity unchanged.
    CandidateWorkers trial = board;
    chosen = ChooseWorkers(item, allowed, trial);
    if (!spec.gang || static_cast<int>(chosen.size()) == stage.waiting) {
      board = std::move(trial);
    } else {
      chosen.clear();
    }
  }
  const bool complete = static_cast<int>(chosen.size()) == stage.waiting;
  StagePlacement placement = StagePlacement::kPlaced;
  if (!complete && static_cast<int>(chosen.size()) == board.max_tasks) {
    placement = StagePlacement::kWaits;
    LogCapWait({item.job, item.occurrence, item.stage, 0},
               stage.waiting - board.max_tasks, now);
  } else if (!complete && new_tasks > board.max_new_tasks) {
    placement = StagePlacement::kWaits;
    if (now < item.job->record_limited_until) {
      Wake(item.job->record_limited_until);
      dispatch_needed_ = true;
    }
    LogRecordWait(item, stage.waiting - static_cast<int>(chosen.size()), now);
  } else if (!complete) {
    if (has_policy) {
      QueryPolicy(item, board, now);
    }
    const PlacementObstacles obstacles =
        CountObstacles({&spec, nullptr, &allowed}, board.options,
                       CountStageTasks(item, board));
    placement = obstacles.no_processor + obstacles.no_memory > 0
                    ? StagePlacement::kWaitsForCapacity
                    : StagePlacement::kWaits;
    LogWaitReasons(item, board, obstacles,
                   stage.waiting - static_cast<int>(chosen.size()), now);
  }
  if (chosen.empty()) {
    return placement;
  }
  uint32_t gang_run = 0;
  for (const Task& task : stage.tasks) {
    gang_run = std::max(gang_run, task.run + 1);
  }
  for (const auto& [index, worker] : chosen) {
    const TaskRef ref{item.job, item.occurrence, item.stage, index};
    Task& task = ref.Get();
    task.run = spec.gang ? gang_run : task.run + 1;
    task.phase = TaskPhase::kPlanned;
    task.since = now;
    --stage.waiting;
    AttachTask(ref, *board.workers[worker]);
  }
  MarkChanged(item.job);
  for (const auto& [index, worker] : chosen) {
    stage.tasks[index].planned_version = item.job->version;
  }
  LogPlacement(item, board, chosen, now);
  return placement;
}

void PoolScheduler::QueryPolicy(const ReadyStage& item,
                                const CandidateWorkers& board,
                                MonoTime now) {
  // The service handles queries in turn, so the tickets of a query that waits
  // for others would expire before they are used. The most urgent stage comes
  // first.
  if (policy_query_in_flight_) {
    return;
  }
  PlacementTickets& advice = item.GetStage().advice;
  if (now < advice.next_query) {
    Wake(advice.next_query);
    dispatch_needed_ = true;
    return;
  }
  PolicyQuery question;
  question.stage = {item.job->spec.id, item.occurrence, item.stage, 0};
  const Resources size = ReservedResources(item.Spec());
  for (size_t i = 0; i < board.workers.size(); ++i) {
    const WorkerKey& key = board.workers[i]->report.key;
    if (question.workers.size() < kMaxQueryWorkers &&
        size.FitsIn(board.options[i].room) && !advice.IsForbidden(key) &&
        advice.TicketFor(key, now).empty()) {
      question.workers.insert(key);
    }
  }
  if (question.workers.empty()) {
    return;
  }
  policy_query_in_flight_ = true;
  output_.questions.push_back(std::move(question));
}

}  // namespace figflow
