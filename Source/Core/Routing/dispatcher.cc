#include "Routing/dispatcher.h"

namespace figflow {

absl::string_view RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kUnknownPool:
      return "unknown-pool";
    case Refusal::kNoTarget:
      return "no-target";
    case Refusal::kQueueFull:
      return "queue-full";
    case Refusal::kWouldMissDeadline:
      return "would-miss-deadline";
    case Refusal::kDeadlinePassed:
      return "deadline-passed";
    case Refusal::kCancelled:
      return "cancelled";
    case Refusal::kStopping:
      return "stopping";
  }
  return "unknown-pool";
}

}  // namespace figflow
