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

// The durable state of a wave: which of its instances may be down or are
// completed.
struct WaveRecord {
  WallTime due;
  bool completed = false;
  std::map<std::string, MaintenanceStep> instances;
};

std::string FormatWaveRecord(const WaveRecord& record);
// Fails with kInvalid on malformed input.
Result<WaveRecord> ParseWaveRecord(absl::string_view bytes);

// Reports which orders of earlier controllers may still be in flight. A
// controller writes the record as active before its first order, and as
// inactive when it hands over.
struct HandOverRecord {
  bool active = false;
  // Instances that the controller ordered shortly before it handed over.
  std::set<std::string> recently_ordered;
};

std::string FormatHandOverRecord(const HandOverRecord& record);
// Fails with kInvalid on malformed input.
Result<HandOverRecord> ParseHandOverRecord(absl::string_view bytes);

}  // namespace figflow

#endif  // INSTANCES_WAVE_RECORD_H_
