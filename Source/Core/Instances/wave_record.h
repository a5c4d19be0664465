#ifndef INSTANCES_WAVE_RECORD_H_
#define INSTANCES_WAVE_RECORD_H_

#include <chrono>
#include <map>
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
// inactive when it hands over, unless any instance may still have an order of a
// controller that did not hand over.
struct HandOverRecord {
  bool active = false;
  // Instances that this controller or an earlier one ordered shortly before,
  // with the time for which no other controller may order.
  std::map<std::string, std::chrono::milliseconds> recently_ordered;
};

std::string FormatHandOverRecord(const HandOverRecord& record);
// Fails with kInvalid on malformed input.
Result<HandOverRecord> ParseHandOverRecord(absl::string_view bytes);

}  // namespace figflow

#endif  // INSTANCES_WAVE_RECORD_H_
