// Applies the caps of customers.
#include "Common/log.h"
#include "Scheduling/pool_scheduler.h"
#include "absl/strings/str_cat.h"

namespace figflow {

void PoolScheduler::SetCustomerGrants(const CustomerGrantOrders& orders,
                                      MonoTime now) {
  limits_.OnOrders(orders, now);
  dispatch_needed_ = dispatch_needed_ || orders.present;
}

CustomerLoadReport PoolScheduler::ReportCustomers(MonoTime now) const {
  return limits_.Report(usage_, now);
}

int PoolScheduler::CountWithinCap(const Job& job,
                                  const StageSpec& spec,
                                  int waiting,
                                  MonoTime now) const {
  const std::string& customer = job.spec.customer;
  if (!limits_.IsLimited(customer)) {
    return waiting;
  }
  const int fitting = limits_.CountFitting(
      customer, usage_.Of(customer), ReservedResources(spec), waiting, now);
  return spec.gang && fitting < waiting ? 0 : fitting;
}

int PoolScheduler::CountReportedWithinCap(const Job& job,
                                          const StageSpec& spec,
                                          int waiting,
                                          MonoTime now) {
  const std::string& customer = job.spec.customer;
  if (!limits_.IsLimited(customer)) {
    return waiting;
  }
  return limits_.CountWaiting(customer, usage_.Of(customer),
                              ReservedResources(spec), waiting, spec.gang, now);
}

void PoolScheduler::LogCapWait(const TaskRef& stage,
                               int waiting,
                               MonoTime now) {
  if (!TakeWaitLogTurn(stage.GetStage(), now)) {
    return;
  }
  const std::string& customer = stage.job->spec.customer;
  const Resources occupied = usage_.Of(customer);
  const Resources granted = limits_.GrantOf(customer, now);
  LogEvent(LogLevel::kInfo, LogCategory::kJobs, "tasks_wait",
           {{"job", stage.job->spec.id},
            {"stage", absl::StrCat(stage.stage)},
            {"pool", options_.pool},
            {"waiting", absl::StrCat(waiting)},
            {"reason", "customer_cap"},
            {"customer", customer},
            {"occupied_millicores", absl::StrCat(occupied.cpu_millicores)},
            {"granted_millicores", absl::StrCat(granted.cpu_millicores)},
            {"occupied_mb", absl::StrCat(occupied.memory_mb)},
            {"granted_mb", absl::StrCat(granted.memory_mb)}});
}

}  // namespace figflow
