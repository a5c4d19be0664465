#include "Scheduling/pool_report.h"

#include <utility>

#include "Common/json.h"

#include "Common/cbor.h"

namespace figflow {
namespace {

using nlohmann::json;

}  // namespace

std::string FormatPoolReport(const PoolReport& report) {
  json workers = json::array();
  for (const WorkerLoad& load : report.workers) {
    workers.push_back(json::array({load.worker, load.instance, load.tasks,
                                   load.perpetual_tasks, load.used_millicores,
                                   load.capacity_millicores, load.evacuating,
                                   load.usable, load.incarnation}));
  }
  return FormatCbor(json::array(
      {report.pool, report.waiting_millicores, report.backlog_millicore_ms,
       report.offered_millicores, report.perpetual_millicores,
       report.unplaced_tasks, std::move(workers), report.min_perpetual_workers,
       report.late_backlog_millicore_ms, report.further_workers,
       FormatCustomerLoadReport(report.customers)}));
}

Result<PoolReport> ParsePoolReport(absl::string_view bytes) {
  return ParseCbor<PoolReport>(bytes, "pool.report", [](const json& row) {
    PoolReport report;
    report.pool = row.at(0).get<std::string>();
    report.waiting_millicores = row.at(1).get<int64_t>();
    report.backlog_millicore_ms = row.at(2).get<int64_t>();
    report.offered_millicores = row.at(3).get<int64_t>();
    report.perpetual_millicores = row.at(4).get<int64_t>();
    report.unplaced_tasks = row.at(5).get<int>();
    // Daemons of earlier versions do not send these elements.
    report.min_perpetual_workers = row.size() > 7 ? row.at(7).get<int>() : 0;
    report.late_backlog_millicore_ms =
        row.size() > 8 ? row.at(8).get<int64_t>() : 0;
    report.further_workers = row.size() > 9 ? row.at(9).get<int>() : 0;
    if (row.size() > 10) {
      report.customers = ReadCustomerLoadReport(row.at(10));
    }
    for (const json& entry : row.at(6)) {
      WorkerLoad load;
      load.worker = entry.at(0).get<std::string>();
      load.instance = entry.at(1).get<std::string>();
      load.tasks = entry.at(2).get<int>();
      load.perpetual_tasks = entry.at(3).get<int>();
      load.used_millicores = entry.at(4).get<int64_t>();
      load.capacity_millicores = entry.at(5).get<int64_t>();
      load.evacuating = entry.at(6).get<bool>();
      load.usable = entry.at(7).get<bool>();
      load.incarnation = entry.size() > 8 ? entry.at(8).get<int64_t>() : 0;
      report.workers.push_back(std::move(load));
    }
    return report;
  });
}

}  // namespace figflow
