// Logs where stages are placed and why others wait.
#include <map>
#include <string>

#include "Common/log.h"
#include "Scheduling/pool_scheduler_dispatch.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace figflow {
namespace {

// Minimum intervals between two logs of wait reasons for one stage, and for the
// whole pool: at a peak hundreds of stages wait for the same reason.
constexpr std::chrono::milliseconds kStageWaitLogInterval{2'000};
constexpr std::chrono::milliseconds kPoolWaitLogInterval{250};

}  // namespace

void PoolScheduler::LogPlacement(const ReadyStage& item,
                                 const CandidateWorkers& board,
                                 const std::vector<std::pair<int, int>>& chosen,
                                 MonoTime now) const {
  std::map<std::string, int> on_worker;
  for (const auto& [index, worker] : chosen) {
    ++on_worker[board.workers[worker]->report.key.id];
  }
  const std::string workers =
      absl::StrJoin(on_worker, ",", absl::PairFormatter(":"));
  const Occurrence& occurrence = item.job->occurrences.at(item.occurrence);
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "stage_placed",
           {{"job", item.job->spec.id},
            {"occurrence", absl::StrCat(item.occurrence)},
            {"stage", absl::StrCat(item.stage)},
            {"pool", options_.pool},
            {"fence", absl::StrCat(options_.fence)},
            {"tasks", absl::StrCat(chosen.size())},
            {"left", absl::StrCat(item.GetStage().waiting)},
            {"urgency", std::string(UrgencyName(item.rank.urgency))},
            {"since_due_ms",
             absl::StrCat(WholeMilliseconds(now - occurrence.due).count())},
            {"usable_workers", absl::StrCat(board.options.size())},
            {"workers", workers}});
}

bool PoolScheduler::TakeWaitLogTurn(Stage& stage, MonoTime now) {
  if (now - stage.wait_logged_at < kStageWaitLogInterval ||
      now - wait_logged_at_ < kPoolWaitLogInterval) {
    return false;
  }
  stage.wait_logged_at = now;
  wait_logged_at_ = now;
  return true;
}

void PoolScheduler::LogRecordWait(const ReadyStage& item,
                                  int waiting,
                                  MonoTime now) {
  if (!TakeWaitLogTurn(item.GetStage(), now)) {
    return;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "tasks_wait",
           {{"job", item.job->spec.id},
            {"stage", absl::StrCat(item.stage)},
            {"pool", options_.pool},
            {"waiting", absl::StrCat(waiting)},
            {"reason", "record_size"}});
}

void PoolScheduler::LogWaitReasons(const ReadyStage& item,
                                   const CandidateWorkers& board,
                                   const PlacementObstacles& obstacles,
                                   int waiting,
                                   MonoTime now) {
  if (!TakeWaitLogTurn(item.GetStage(), now)) {
    return;
  }
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "tasks_wait",
           {{"job", item.job->spec.id},
            {"stage", absl::StrCat(item.stage)},
            {"pool", options_.pool},
            {"waiting", absl::StrCat(waiting)},
            {"urgency", std::string(UrgencyName(item.rank.urgency))},
            {"workers", absl::StrCat(workers_.size())},
            {"usable", absl::StrCat(board.options.size())},
            {"no_processor", absl::StrCat(obstacles.no_processor)},
            {"no_memory", absl::StrCat(obstacles.no_memory)},
            {"limit_per_worker", absl::StrCat(obstacles.limit_per_worker)},
            {"no_label", absl::StrCat(obstacles.no_label)},
            {"no_ticket", absl::StrCat(obstacles.no_ticket)},
            {"reserved_worker",
             reservation_.current() ? reservation_.current()->worker.id : ""}});
}

}  // namespace figflow
