#include "Scheduling/worker.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace figflow {
namespace {

constexpr std::array<absl::string_view, 6> kRunResultNames = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"};
constexpr std::array<absl::string_view, 9> kStartAnswerNames = {
    "started",   "fenced",  "outdated",  "late",    "no-room",
    "no-ticket", "refused", "unhealthy", "replaced"};

}  // namespace

bool operator==(const WorkerKey& a, const WorkerKey& b) {
  return a.id == b.id && a.incarnation == b.incarnation;
}

bool operator!=(const WorkerKey& a, const WorkerKey& b) {
  return !(a == b);
}

bool operator<(const WorkerKey& a, const WorkerKey& b) {
  return std::tie(a.id, a.incarnation) < std::tie(b.id, b.incarnation);
}

bool operator==(const TaskName& a, const TaskName& b) {
  return std::tie(a.job, a.occurrence, a.stage, a.index) ==
         std::tie(b.job, b.occurrence, b.stage, b.index);
}

absl::string_view RunResultName(RunResult result) {
  return kRunResultNames[static_cast<size_t>(result)];
}

absl::string_view OrderOutcomeName(OrderOutcome answer) {
  return kStartAnswerNames[static_cast<size_t>(answer)];
}

bool WorkerReport::HasLabel(const std::string& label) const {
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

}  // namespace figflow
