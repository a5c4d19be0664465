#include "Scheduling/fair_share.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <tuple>

namespace figflow {
namespace {

bool InOneGroup(const DispatchRank& a, const DispatchRank& b) {
  return std::tie(a.urgency, a.priority) == std::tie(b.urgency, b.priority);
}

}  // namespace

double AverageWeight(const std::vector<CustomerConfig>& customers) {
  double sum = 0;
  int count = 0;
  for (const CustomerConfig& customer : customers) {
    if (customer.weight > 0) {
      sum += customer.weight;
      ++count;
    }
  }
  return count == 0 ? 1 : sum / count;
}

FairSequence::FairSequence(std::vector<WaitingStage> stages, const Scope& scope)
    : stages_(std::move(stages)),
      capacity_(scope.capacity),
      fair_(!scope.customers.empty()) {
  if (!fair_) {
    std::vector<DispatchRank> ranks;
    ranks.reserve(stages_.size());
    for (const WaitingStage& stage : stages_) {
      ranks.push_back(stage.rank);
    }
    sorted_ = DispatchSequence(ranks);
    return;
  }
  sorted_.resize(stages_.size());
  std::iota(sorted_.begin(), sorted_.end(), size_t{0});
  std::stable_sort(sorted_.begin(), sorted_.end(), [&](size_t a, size_t b) {
    return stages_[a].rank < stages_[b].rank;
  });
  place_of_.resize(stages_.size());
  for (size_t place = 0; place < sorted_.size(); ++place) {
    place_of_[sorted_[place]] = place;
  }
  AddCustomers(scope);
  SplitIntoStreams();
}

void FairSequence::AddCustomers(const Scope& scope) {
  const double average = AverageWeight(scope.customers);
  absl::flat_hash_map<absl::string_view, double> weights;
  for (const CustomerConfig& customer : scope.customers) {
    weights[customer.name] = customer.weight > 0 ? customer.weight : average;
  }
  absl::flat_hash_map<absl::string_view, size_t> indices;
  customer_of_.reserve(stages_.size());
  for (const WaitingStage& stage : stages_) {
    const auto [entry, added] =
        indices.emplace(stage.customer, customers_.size());
    customer_of_.push_back(entry->second);
    if (!added) {
      continue;
    }
    Customer customer;
    const auto weight = weights.find(stage.customer);
    customer.weight = weight == weights.end() ? average : weight->second;
    const auto occupied = scope.occupied.find(std::string(stage.customer));
    if (occupied != scope.occupied.end()) {
      customer.occupied = occupied->second;
    }
    customer.share =
        DominantShare(customer.occupied, capacity_) / customer.weight;
    customers_.push_back(customer);
  }
}

void FairSequence::SplitIntoStreams() {
  const auto first_of = [&](Urgency urgency) {
    const auto place = std::find_if(
        sorted_.begin(), sorted_.end(),
        [&](size_t index) { return stages_[index].rank.urgency >= urgency; });
    return static_cast<size_t>(place - sorted_.begin());
  };
  first_.end = in_time_.begin = first_of(Urgency::kInTime);
  in_time_.end = last_chance_.begin = first_of(Urgency::kLastChance);
  last_chance_.end = rest_.begin = first_of(Urgency::kLate);
  rest_.end = sorted_.size();
}

std::optional<size_t> FairSequence::Next() {
  if (!fair_) {
    return next_unfair_ < sorted_.size()
               ? std::make_optional(sorted_[next_unfair_++])
               : std::nullopt;
  }
  CountLast();
  Stream* stream = &rest_;
  if (!first_.done()) {
    stream = &first_;
  } else if (!in_time_.done() || !last_chance_.done()) {
    const bool takes_last_chance =
        !last_chance_.done() &&
        (in_time_.done() || ++taken_ % kLastChanceInterval == 0);
    stream = takes_last_chance ? &last_chance_ : &in_time_;
  }
  if (stream->done()) {
    return std::nullopt;
  }
  last_ = TakeFrom(*stream);
  return last_;
}

void FairSequence::CountLast() {
  if (!last_) {
    return;
  }
  Customer& customer = customers_[customer_of_[*last_]];
  customer.occupied += stages_[*last_].demand;
  customer.share =
      DominantShare(customer.occupied, capacity_) / customer.weight;
  ++customer.grants;
  last_.reset();
}

size_t FairSequence::TakeFrom(Stream& stream) {
  if (stream.heap.empty()) {
    LoadGroup(stream);
  }
  while (true) {
    std::pop_heap(stream.heap.begin(), stream.heap.end(), std::greater<>());
    const Entry entry = stream.heap.back();
    const size_t index = entry.line;
    stream.heap.pop_back();
    Line& line = stream.lines[index];
    // Shares only grow, so an entry with an outdated key is too near to the
    // front, never too far behind.
    if (entry.grants != customers_[line.customer].grants) {
      Push(stream, index);
      continue;
    }
    const size_t stage = line.stages[line.next++];
    if (line.next < line.stages.size()) {
      Push(stream, index);
    }
    return stage;
  }
}

void FairSequence::LoadGroup(Stream& stream) {
  stream.lines.clear();
  absl::flat_hash_map<size_t, size_t> line_of;
  const DispatchRank& group = stages_[sorted_[stream.begin]].rank;
  for (; stream.begin < stream.end &&
         InOneGroup(stages_[sorted_[stream.begin]].rank, group);
       ++stream.begin) {
    const size_t stage = sorted_[stream.begin];
    const auto [entry, added] =
        line_of.emplace(customer_of_[stage], stream.lines.size());
    if (added) {
      stream.lines.emplace_back();
      stream.lines.back().customer = customer_of_[stage];
    }
    stream.lines[entry->second].stages.push_back(stage);
  }
  for (size_t line = 0; line < stream.lines.size(); ++line) {
    Push(stream, line);
  }
}

void FairSequence::Push(Stream& stream, size_t index) const {
  const Line& line = stream.lines[index];
  stream.heap.push_back({customers_[line.customer].share,
                         place_of_[line.stages[line.next]], index,
                         customers_[line.customer].grants});
  std::push_heap(stream.heap.begin(), stream.heap.end(), std::greater<>());
}

}  // namespace figflow
