#ifndef SCHEDULING_SCHEDULER_METRICS_H_
#define SCHEDULING_SCHEDULER_METRICS_H_

#include <map>
#include <string>

#include "Common/metrics.h"
#include "Scheduling/worker.h"

namespace figflow {

// Counters and histograms of the pools of a daemon. All pools of a daemon share
// them: the registry returns the same object for the same name.
struct SchedulerMetrics {
  explicit SchedulerMetrics(MetricsRegistry& metrics);

  Counter& StartRejections(OrderOutcome answer) const;
  void SetWaitingTasks(const std::string& pool,
                       const std::map<std::string, int>& tasks_by_queue) const;

  Counter& accepted;
  Counter& refused;
  Counter& completed;
  Counter& failed;
  Counter& cancelled;
  Counter& starts;
  Counter& start_retries;
  Counter& runs_done;
  Counter& runs_failed;
  Counter& runs_lapsed;
  Counter& runs_lost;
  Counter& ends_without_effect;
  Counter& stops;
  Counter& holds;
  Counter& workers_lost;
  Counter& records_refused;
  LatencyHistogram& time_to_accept;
  LatencyHistogram& time_to_start;
  LatencyHistogram& time_to_complete;

 private:
  MetricsRegistry& registry_;
};

}  // namespace figflow

#endif  // SCHEDULING_SCHEDULER_METRICS_H_
