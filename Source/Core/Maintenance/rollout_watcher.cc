#include "Maintenance/rollout_watcher.h"

#include <algorithm>

#include "Maintenance/wave_document.h"
#include "absl/strings/strip.h"

namespace figflow {
namespace {

bool IsActive(const WaveDocument& document) {
  if (document.state == RolloutState::kNone) {
    return false;
  }
  return document.state != RolloutState::kFinished ||
         std::any_of(document.instances.begin(), document.instances.end(),
                     [](const auto& entry) {
                       return entry.second.stage == WaveStage::kFailed;
                     });
}

}  // namespace

Result<void> RolloutWatcher::Poll(std::chrono::milliseconds wait) {
  const Result<WatchResult> watched = store_.Watch("wave/", revision_, wait);
  if (!watched) {
    return tl::unexpected<Error>(watched.error());
  }
  for (const KeyValue& change : watched->changes) {
    absl::string_view name = change.key;
    if (!absl::ConsumePrefix(&name, "wave/")) {
      continue;
    }
    const ProjectId project{std::string(name)};
    active_.erase(project);
    unreadable_.erase(project);
    if (change.versioned.value.empty()) {
      continue;
    }
    const Result<WaveDocument> document =
        ParseWaveDocument(change.versioned.value);
    if (!document) {
      unreadable_.emplace(project, document.error());
    } else if (IsActive(*document)) {
      active_.insert(project);
    }
  }
  revision_ = watched->revision;
  return {};
}

}  // namespace figflow
