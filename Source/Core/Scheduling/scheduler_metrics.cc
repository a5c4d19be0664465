#include "Scheduling/scheduler_metrics.h"

#include "absl/strings/str_cat.h"

namespace figflow {

SchedulerMetrics::SchedulerMetrics(MetricsRegistry& metrics)
    : accepted(metrics.GetCounter("figflow_jobs_accepted_total")),
      refused(metrics.GetCounter("figflow_jobs_refused_total")),
      completed(
          metrics.GetCounter("figflow_jobs_ended_total{how=\"completed\"}")),
      failed(metrics.GetCounter("figflow_jobs_ended_total{how=\"failed\"}")),
      cancelled(
          metrics.GetCounter("figflow_jobs_ended_total{how=\"cancelled\"}")),
      starts(metrics.GetCounter("figflow_start_orders_total")),
      start_retries(metrics.GetCounter("figflow_start_order_retries_total")),
      runs_done(metrics.GetCounter("figflow_runs_ended_total{how=\"done\"}")),
      runs_failed(
          metrics.GetCounter("figflow_runs_ended_total{how=\"failed\"}")),
      runs_lapsed(
          metrics.GetCounter("figflow_runs_ended_total{how=\"lapsed\"}")),
      runs_lost(metrics.GetCounter("figflow_runs_ended_total{how=\"lost\"}")),
      ends_without_effect(
          metrics.GetCounter("figflow_ends_without_effect_total")),
      stops(metrics.GetCounter("figflow_stop_orders_total")),
      holds(metrics.GetCounter("figflow_hold_orders_total")),
      workers_lost(metrics.GetCounter("figflow_workers_lost_total")),
      records_refused(metrics.GetCounter("figflow_records_refused_total")),
      time_to_accept(metrics.GetHistogram("figflow_job_accept")),
      time_to_start(metrics.GetHistogram("figflow_job_start")),
      time_to_complete(metrics.GetHistogram("figflow_job_complete")),
      registry_(metrics) {}

Counter& SchedulerMetrics::StartRejections(OrderOutcome answer) const {
  return registry_.GetCounter(
      absl::StrCat("figflow_start_orders_rejected_total{reason=\"",
                   OrderOutcomeName(answer), "\"}"));
}

void SchedulerMetrics::SetWaitingTasks(
    const std::string& pool,
    const std::map<std::string, int>& tasks_by_queue) const {
  for (const auto& [queue, tasks] : tasks_by_queue) {
    registry_
        .GetGauge(absl::StrCat("figflow_queue_waiting_tasks{pool=\"", pool,
                               "\",queue=\"", queue, "\"}"))
        .Set(tasks);
  }
}

}  // namespace figflow
