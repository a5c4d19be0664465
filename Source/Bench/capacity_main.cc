// Measures how the control state of one daemon grows: bytes and CPU time of its
// documents and of the dispatcher's regular work, at three sizes each. The last
// size of each is that of docs/CAPACITY.md. Prints one JSON line per size.
#include <time.h>

#include <chrono>
#include <functional>
#include <iostream>
#include <string>

#include "Common/json.h"

#include "Common/metrics.h"
#include "FleetConfig/fleet_configuration.h"
#include "Pools/data_centre_document.h"
#include "Routing/sharded_dispatcher.h"
#include "absl/strings/str_cat.h"

namespace figflow::bench {
namespace {

constexpr int kRepetitions = 50;

double CpuMicros() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

// CPU time of one call in microseconds, mean of several.
double CostOf(const std::function<void()>& call) {
  const double start = CpuMicros();
  for (int i = 0; i < kRepetitions; ++i) {
    call();
  }
  return (CpuMicros() - start) / kRepetitions;
}

FleetConfiguration Configuration(int pools, int data_centres) {
  FleetConfiguration configuration = EmptyConfiguration();
  for (int pool = 0; pool < pools; ++pool) {
    for (int i = 0; i < data_centres; ++i) {
      SheetRow row;
      row.project = ProjectId(absl::StrCat("project-", 1000 + pool));
      row.team = TeamId(absl::StrCat("team-", pool % 86));
      row.pool = PoolId(row.project.value());
      row.data_centre = DataCentreId(absl::StrCat("dc-", 10 + i));
      row.instances = 2;
      row.max_down = 1;
      row.budget_minutes = 240;
      row.long_share = 0.5;
      row.max_move = 4;
      configuration.rows.push_back(std::move(row));
    }
  }
  configuration.hash = RowsHash(configuration.rows);
  return configuration;
}

nlohmann::json MeasureConfiguration(int pools, int data_centres) {
  const FleetConfiguration base = Configuration(pools, data_centres);
  SheetRows changed = base.rows;
  changed.front().instances = 3;
  const ConfigStep step = MakeStep(base, changed, "bench", WallTime());
  size_t document_bytes = 0;
  for (const SheetRow& row : base.rows) {
    document_bytes += RowToCompactJson(row).dump().size() + 1;
  }
  return {{"what", "configuration"},
          {"pools", pools},
          {"rows", base.rows.size()},
          {"document_bytes", document_bytes},
          {"change_bytes", RowToCompactJson(step.set.front()).dump().size()},
          {"apply_change_us", CostOf([&] { (void)ApplyStep(base, step); })}};
}

nlohmann::json MeasureDocument(int instances) {
  DataCentreDocument document;
  document.data_centre = DataCentreId("dc-10");
  for (int i = 0; i < instances; ++i) {
    InstanceRecord record;
    record.rack = RackId(absl::StrCat("rack-", i / 4));
    record.address = absl::StrCat("10.0.", i / 250, ".", i % 250, ":8080");
    record.boot = 1;
    record.slots = 8;
    record.connections = 64;
    record.pool = PoolId(absl::StrCat("project-", 1000 + i % 194));
    record.project = ProjectId(record.pool.value());
    document.instances[InstanceId(absl::StrCat("worker-", 10000 + i))] =
        std::move(record);
  }
  const std::string text = FormatDataCentreDocument(document);
  return {
      {"what", "data_centre_document"},
      {"instances", instances},
      {"bytes", text.size()},
      {"parse_us", CostOf([&] { (void)ParseDataCentreDocument(text); })},
      {"format_us", CostOf([&] { (void)FormatDataCentreDocument(document); })}};
}

nlohmann::json MeasureDispatcher(int pools, int targets) {
  MetricsRegistry metrics;
  ShardedDispatcher dispatcher(RoutingOptions(), metrics);
  RoutingTable table;
  for (int pool = 0; pool < pools; ++pool) {
    PoolTable entry;
    entry.pool = PoolId(absl::StrCat("project-", 1000 + pool));
    entry.project = ProjectId(entry.pool.value());
    for (int i = pool; i < targets; i += pools) {
      TargetShare share;
      share.id = InstanceId(absl::StrCat("worker-", 10000 + i));
      share.address = absl::StrCat("10.0.", i / 250, ".", i % 250, ":8080");
      share.boot = 1;
      share.slots = 2;
      share.connections = 16;
      entry.targets.push_back(std::move(share));
    }
    table.pools.push_back(std::move(entry));
  }
  const SystemClock clock;
  dispatcher.UpdateTable(table, clock.Now());
  return {{"what", "dispatcher"},
          {"pools", pools},
          {"targets", targets},
          {"tick_us", CostOf([&] { dispatcher.Tick(clock.Now()); })},
          {"update_table_us",
           CostOf([&] { dispatcher.UpdateTable(table, clock.Now()); })},
          {"free_slots_us", CostOf([&] { (void)dispatcher.FreeSlots(); })}};
}

}  // namespace
}  // namespace figflow::bench

int main() {
  using figflow::bench::MeasureConfiguration;
  using figflow::bench::MeasureDispatcher;
  using figflow::bench::MeasureDocument;
  for (const int pools : {5, 50, 194}) {
    std::cout << MeasureConfiguration(pools, 15).dump() << "\n";
  }
  for (const int instances : {12, 60, 234}) {
    std::cout << MeasureDocument(instances).dump() << "\n";
  }
  for (const int pools : {5, 50, 194}) {
    std::cout << MeasureDispatcher(pools, 234).dump() << "\n";
  }
  return 0;
}
