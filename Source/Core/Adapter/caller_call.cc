#include "Adapter/caller_call.h"

#include <array>

namespace figflow {
namespace {

constexpr std::array<absl::string_view, 11> kOutcomeNames = {
    "accepted",      "refused",   "unknown",     "unavailable",
    "state",         "cancelled", "no-such-job", "pending-count",
    "no-such-queue", "malformed", "unauthorized"};

constexpr std::array<absl::string_view, 5> kKindNames = {
    "submit", "query", "cancel", "count-pending", "look-up"};

}  // namespace

absl::string_view CallKindName(CallKind kind) {
  return kKindNames[static_cast<size_t>(kind)];
}

absl::string_view CallOutcomeName(CallOutcome outcome) {
  return kOutcomeNames[static_cast<size_t>(outcome)];
}

}  // namespace figflow
