#include "Daemon/admin_service.h"

#include <algorithm>
#include <utility>

#include "Maintenance/wave_document.h"
#include "Maintenance/wave_store.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr char kWavePrefix[] = "wave/";

RolloutRow RowOf(const WaveDocument& document) {
  RolloutRow row;
  row.project = document.project;
  row.rollout = document.rollout;
  row.state = std::string(RolloutStateName(document.state));
  // Waves count from 1 in the document; row 0 is the canary.
  row.wave = std::max(0, document.wave - 1);
  row.total = static_cast<int>(document.instances.size());
  row.reason = document.reason;
  for (const auto& [id, instance] : document.instances) {
    row.in_flight += IsInFlight(instance.stage) ? 1 : 0;
    row.done += instance.stage == WaveStage::kDone ? 1 : 0;
    row.failed += instance.stage == WaveStage::kFailed ? 1 : 0;
  }
  return row;
}

}  // namespace

Result<RolloutRow> AdminService::ChangeRollout(
    const ProjectId& project,
    const std::function<Result<void>(WaveStore&)>& change) {
  WaveStore waves(parts_.store, project, WriterName(), store_timeout_);
  const Result<void> changed = change(waves);
  if (!changed) {
    return tl::unexpected<Error>(changed.error());
  }
  const Result<WaveStore::Versioned> read = waves.Read();
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  return RowOf(read->document);
}

Result<RolloutRow> AdminService::StartMaintenance(const RolloutStart& start) {
  const Result<std::vector<DataCentreDocument>> documents = ReadDocuments();
  if (!documents) {
    return tl::unexpected<Error>(documents.error());
  }
  std::vector<RolloutInstance> instances;
  for (const DataCentreDocument& document : *documents) {
    for (const auto& [id, record] : document.instances) {
      if (record.project == start.project) {
        instances.push_back({id, document.data_centre, record.rack});
      }
    }
  }
  if (instances.empty()) {
    return Fail(ErrorCode::kNotFound, "maintenance.start", "",
                "the project has no instances");
  }
  return ChangeRollout(start.project, [&](WaveStore& waves) {
    return waves.Start(start.rollout, instances);
  });
}

Result<RolloutRow> AdminService::PauseMaintenance(const ProjectId& project) {
  return ChangeRollout(project, [](WaveStore& waves) { return waves.Pause(); });
}

Result<RolloutRow> AdminService::ResumeMaintenance(const ProjectId& project) {
  return ChangeRollout(project,
                       [](WaveStore& waves) { return waves.Resume(); });
}

Result<std::vector<RolloutRow>> AdminService::Maintenance(
    const AdminFilter& filter) {
  const Result<std::vector<KeyValue>> stored =
      parts_.store.List(kWavePrefix, store_timeout_);
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  std::vector<RolloutRow> rows;
  for (const KeyValue& entry : *stored) {
    const Result<WaveDocument> document =
        ParseWaveDocument(entry.versioned.value);
    if (document &&
        (filter.project.empty() || filter.project == document->project)) {
      rows.push_back(RowOf(*document));
    }
  }
  return rows;
}

}  // namespace figflow
