#ifndef INSTANCES_WAVE_RECORD_H_
#define INSTANCES_WAVE_RECORD_H_

#include <map>
#include <set>
#include <string>

#include "Common/clock.h"
#include "Common/error.h"
#include "Instances/wave_planner.h"
#include "absl/strings/string_view.h"

namespace figflow {

// What lasts of a wave: which of its instances may be down or are done.
struct WaveRecord {
  WallTime due;
  bool completed = false;
  std::map<std::string, MaintenanceStep> instances;
};

std::string FormatWaveRecord(const WaveRecord& record);
// Error kInvalid.
Result<WaveRecord> ParseWaveRecord(absl::string_view bytes);

// How far the orders of earlier keepers reach. A keeper writes it as active
// before its first order, and as handed over when it ends in good order.
struct HandOverRecord {
  bool active = false;
  // Instances ordered lately by the keeper that handed over.
  std::set<std::string> recently_ordered;
};

std::string FormatHandOverRecord(const HandOverRecord& record);
// Error kInvalid.
Result<HandOverRecord> ParseHandOverRecord(absl::string_view bytes);

}  // namespace figflow

#endif  // INSTANCES_WAVE_RECORD_H_
