#include "Scheduling/dispatch_order.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <vector>

namespace figflow {
namespace {

// Typical ratio of the duration of a stage's slowest task to the mean.
constexpr double kSlowestTaskFactor = 1.2;
// Reserve for delays still to come: acknowledgements, and the placement of
// tasks of later stages.
constexpr std::chrono::milliseconds kFixedReserve{100};
constexpr double kReserveFraction = 0.15;
// Late work is at its last chance if its result becomes useless within this
// time.
constexpr std::chrono::milliseconds kLastChanceWindow{700};
// A result is useful until this multiple of the objective (platform contract).
constexpr int kUsefulFactor = 3;

bool HasBegun(const Occurrence& occurrence) {
  return std::any_of(occurrence.stages.begin(), occurrence.stages.end(),
                     [](const Stage& stage) {
                       return stage.done > 0 ||
                              stage.waiting <
                                  static_cast<int>(stage.tasks.size());
                     });
}

constexpr std::array<absl::string_view, 6> kUrgencyNames = {
    "perpetual", "begun-in-time", "in-time", "last-chance", "late", "overdue"};

}  // namespace

absl::string_view UrgencyName(Urgency urgency) {
  return kUrgencyNames[static_cast<size_t>(urgency)];
}

WorkChain EstimateWorkChain(const JobSpec& spec,
                            const Occurrence& occurrence,
                            const DurationModel& durations) {
  using std::chrono::milliseconds;
  WorkChain chain;
  std::vector<WorkChain> chain_through(spec.stages.size());
  for (size_t i = 0; i < spec.stages.size(); ++i) {
    const StageSpec& stage = spec.stages[i];
    for (const int earlier : stage.after) {
      chain_through[i].whole =
          std::max(chain_through[i].whole, chain_through[earlier].whole);
      chain_through[i].left =
          std::max(chain_through[i].left, chain_through[earlier].left);
    }
    const milliseconds duration = std::chrono::duration_cast<milliseconds>(
        durations.Predict(stage.estimate) * kSlowestTaskFactor);
    chain_through[i].whole += duration;
    if (!occurrence.stages[i].finished()) {
      chain_through[i].left += duration;
    }
    chain.whole = std::max(chain.whole, chain_through[i].whole);
    chain.left = std::max(chain.left, chain_through[i].left);
  }
  return chain;
}

DispatchRank ComputeDispatchRank(const Job& job,
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
  const WorkChain chain = EstimateWorkChain(job.spec, occurrence, durations);
  const double stretch = queue == nullptr ? 1.0 : queue->stretch;
  const milliseconds objective =
      (queue == nullptr ? milliseconds(0) : queue->objective) +
      std::chrono::duration_cast<milliseconds>(chain.whole * stretch);
  // Work that has begun has used its reserve for waiting.
  const bool begun = HasBegun(occurrence);
  const milliseconds reserve =
      begun ? milliseconds(0)
            : kFixedReserve + std::chrono::duration_cast<milliseconds>(
                                  chain.left * kReserveFraction);
  const MonoTime in_time = occurrence.due + objective - chain.left - reserve;
  const MonoTime useful_until =
      occurrence.due + objective * kUsefulFactor - chain.left;
  if (in_time >= now) {
    rank.urgency = begun ? Urgency::kBegunInTime : Urgency::kInTime;
    rank.key = in_time;
  } else if (useful_until >= now) {
    const bool last_chance = useful_until - now < kLastChanceWindow;
    rank.urgency = last_chance ? Urgency::kLastChance : Urgency::kLate;
    rank.key = useful_until;
  } else {
    rank.urgency = Urgency::kOverdue;
  }
  return rank;
}

std::vector<size_t> DispatchSequence(const std::vector<DispatchRank>& ranks) {
  std::vector<size_t> sorted(ranks.size());
  std::iota(sorted.begin(), sorted.end(), size_t{0});
  std::stable_sort(sorted.begin(), sorted.end(),
                   [&](size_t a, size_t b) { return ranks[a] < ranks[b]; });
  const auto first_of = [&](Urgency urgency) {
    return std::find_if(sorted.begin(), sorted.end(), [&](size_t index) {
      return ranks[index].urgency >= urgency;
    });
  };
  auto in_time = first_of(Urgency::kInTime);
  auto last_chance = first_of(Urgency::kLastChance);
  const auto in_time_end = last_chance;
  const auto last_chance_end = first_of(Urgency::kLate);
  std::vector<size_t> sequence(sorted.begin(), in_time);
  int taken = 0;
  while (in_time != in_time_end || last_chance != last_chance_end) {
    const bool takes_last_chance =
        last_chance != last_chance_end &&
        (in_time == in_time_end || ++taken % kLastChanceInterval == 0);
    sequence.push_back(takes_last_chance ? *last_chance++ : *in_time++);
  }
  sequence.insert(sequence.end(), last_chance_end, sorted.end());
  return sequence;
}

}  // namespace figflow
