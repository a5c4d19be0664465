#include "Scheduling/dispatch_order.h"

#include <algorithm>
#include <array>
#include <vector>

namespace figflow {
namespace {

// The slowest of a stage's tasks takes about this many times as long as their
// mean.
constexpr double kSlowestOfStage = 1.2;
// Reserve for waits that are still to come: for acknowledgements, and for the
// tasks of later stages.
constexpr std::chrono::milliseconds kFixedReserve{100};
constexpr double kReserveShare = 0.15;
// Work is of some use until this many times its objective (platform contract).
constexpr int kLateFactor = 3;

bool HasBegun(const Occurrence& occurrence) {
  return std::any_of(
      occurrence.stages.begin(), occurrence.stages.end(),
      [](const Stage& stage) {
        return stage.done > 0 ||
               stage.waiting < static_cast<int>(stage.tasks.size());
      });
}

}  // namespace

absl::string_view UrgencyName(Urgency urgency) {
  constexpr std::array<absl::string_view, 5> kNames = {
      "perpetual", "begun-in-time", "in-time", "late", "overdue"};
  return kNames[static_cast<size_t>(urgency)];
}

WorkChain ChainOf(const JobSpec& spec,
                  const Occurrence& occurrence,
                  const DurationModel& durations) {
  using std::chrono::milliseconds;
  WorkChain chain;
  std::vector<WorkChain> up_to(spec.stages.size());
  for (size_t i = 0; i < spec.stages.size(); ++i) {
    const StageSpec& stage = spec.stages[i];
    for (const int earlier : stage.after) {
      up_to[i].whole = std::max(up_to[i].whole, up_to[earlier].whole);
      up_to[i].left = std::max(up_to[i].left, up_to[earlier].left);
    }
    const milliseconds duration = std::chrono::duration_cast<milliseconds>(
        durations.Predict(stage.estimate) * kSlowestOfStage);
    up_to[i].whole += duration;
    if (!occurrence.stages[i].finished()) {
      up_to[i].left += duration;
    }
    chain.whole = std::max(chain.whole, up_to[i].whole);
    chain.left = std::max(chain.left, up_to[i].left);
  }
  return chain;
}

DispatchRank RankOf(const Job& job,
                    const Occurrence& occurrence,
                    const QueueConfig* queue,
                    const DurationModel& durations,
                    MonoTime now) {
  using std::chrono::milliseconds;
  DispatchRank rank;
  rank.priority = queue == nullptr ? 0 : queue->priority;
  rank.key = occurrence.due;
  if (job.perpetual()) {
    return rank;
  }
  const WorkChain chain = ChainOf(job.spec, occurrence, durations);
  const double stretch = queue == nullptr ? 1.0 : queue->stretch;
  const milliseconds objective =
      (queue == nullptr ? milliseconds(0) : queue->objective) +
      std::chrono::duration_cast<milliseconds>(chain.whole * stretch);
  const milliseconds reserve =
      kFixedReserve +
      std::chrono::duration_cast<milliseconds>(chain.left * kReserveShare);
  const MonoTime in_time = occurrence.due + objective - chain.left - reserve;
  const MonoTime of_use = occurrence.due + objective * kLateFactor - chain.left;
  if (in_time >= now) {
    rank.urgency = HasBegun(occurrence) ? Urgency::kBegunInTime
                                        : Urgency::kInTime;
    rank.key = in_time;
  } else if (of_use >= now) {
    rank.urgency = Urgency::kLate;
    rank.key = of_use;
  } else {
    rank.urgency = Urgency::kOverdue;
  }
  return rank;
}

}  // namespace figflow
