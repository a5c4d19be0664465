#ifndef MAINTENANCE_WAVE_DOCUMENT_H_
#define MAINTENANCE_WAVE_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <string>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "absl/strings/string_view.h"

namespace figflow {

enum class WaveStage {
  kPending,
  // Chosen, with an operation id; the budget is being reserved.
  kReserved,
  // In maintenance in the data centre document; entry instances still confirm.
  kDraining,
  // Drained; the platform reboots it.
  kRebooting,
  // On the way back to pending: the drain is undone and the budget settled.
  kCancelling,
  kDone,
  kFailed,
};

enum class RolloutState {
  kNone,
  kRunning,
  // Operations that began go on; none begins.
  kPaused,
  // As paused, after failures; instances not yet rebooting go back into use.
  kHalted,
  kFinished,
};

struct WaveInstance {
  DataCentreId data_centre;
  RackId rack;
  WaveStage stage = WaveStage::kPending;
  // Number of the wave; 0 while it is in none.
  int wave = 0;
  // Operations begun so far.
  int starts = 0;
  // Operations that ended because the drain took too long.
  int drain_timeouts = 0;
  OperationId operation;
  // Boot number before the reboot.
  uint64_t boot_before = 0;
  // End of the budget reservation.
  WallTime reserved_until;
  // Why it failed or was left out.
  std::string note;
};

// Value of the key "wave/<project>".
struct WaveDocument {
  ProjectId project;
  std::string write_id;
  std::string rollout;
  RolloutState state = RolloutState::kNone;
  // Why it was halted.
  std::string reason;
  // Number and size of the current wave. Size 1 is a canary.
  int wave = 0;
  int wave_size = 0;
  // Daemon that drives the roll-out, by data centre. A change makes every
  // write of the former holder fail.
  std::map<DataCentreId, std::string> holders;
  std::map<InstanceId, WaveInstance> instances;
};

std::string FormatWaveDocument(const WaveDocument& document);
// kInvalid with the path of the first fault, also for an unknown version.
Result<WaveDocument> ParseWaveDocument(absl::string_view text);

// Stable lower-case names, as in the document.
absl::string_view WaveStageName(WaveStage stage);
absl::string_view RolloutStateName(RolloutState state);

// True for an instance whose operation has begun and not ended.
bool IsInFlight(WaveStage stage);

}  // namespace figflow

#endif  // MAINTENANCE_WAVE_DOCUMENT_H_
