#include "Routing/operation_classifier.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace figflow {
namespace {

// Requests hold a slot for their whole service time, so the upper part of the
// distribution matters more than the median.
constexpr double kTypicalQuantile = 0.75;
constexpr double kDeclaredWeight = 3;
// The base time is the typical time of the operations that make up the fastest
// tenth of the requests, so that a rare health check does not determine it.
constexpr double kBaseShare = 0.1;
constexpr int kMaxSamplesPerReclassify = 64;

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

OperationClassifier::OperationClassifier(SizeClassOptions options)
    : options_(options) {}

void OperationClassifier::DeclareServiceTime(absl::string_view operation,
                                             std::chrono::nanoseconds time,
                                             MonoTime now) {
  Find(operation, now).sketch.Add(time, kDeclaredWeight, now);
  Reclassify();
}

void OperationClassifier::Observe(absl::string_view operation,
                                  std::chrono::nanoseconds service_time,
                                  MonoTime now) {
  Operation& found = Find(operation, now);
  found.sketch.Add(service_time, 1, now);
  found.last_seen = now;
  // The estimate of an operation with few samples changes quickly. With more
  // samples it is stable, and reclassifying less often is sufficient.
  const bool fresh = found.sketch.weight() < kMaxSamplesPerReclassify;
  if (fresh || --samples_until_reclassify_ <= 0) {
    Reclassify();
  }
}

SizeClass OperationClassifier::Classify(absl::string_view operation) const {
  const auto it = operations_.find(operation);
  return it == operations_.end() ? SizeClass::kShort : it->second.size_class;
}

std::chrono::nanoseconds OperationClassifier::TypicalServiceTime(
    absl::string_view operation) const {
  const auto it = operations_.find(operation);
  return it == operations_.end() ? std::chrono::nanoseconds::zero()
                                 : it->second.sketch.Quantile(kTypicalQuantile);
}

std::chrono::nanoseconds OperationClassifier::LongThreshold() const {
  if (base_ == std::chrono::nanoseconds::zero()) {
    return std::chrono::nanoseconds::max();
  }
  const std::chrono::duration<double, std::nano> limit =
      options_.long_factor * base_;
  return std::max<std::chrono::nanoseconds>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(limit),
      options_.min_long_time);
}

OperationClassifier::Operation& OperationClassifier::Find(
    absl::string_view operation,
    MonoTime now) {
  const auto it = operations_.find(operation);
  if (it != operations_.end()) {
    return it->second;
  }
  if (operations_.size() >= options_.max_operations) {
    EvictLeastRecentlySeen();
  }
  return operations_
      .emplace(std::string(operation),
               Operation{QuantileSketch(options_.half_life), SizeClass::kShort,
                         std::chrono::nanoseconds::zero(), now})
      .first->second;
}

void OperationClassifier::EvictLeastRecentlySeen() {
  const auto oldest = std::min_element(
      operations_.begin(), operations_.end(), [](const auto& a, const auto& b) {
        return a.second.last_seen < b.second.last_seen;
      });
  operations_.erase(oldest);
}

void OperationClassifier::Reclassify() {
  samples_until_reclassify_ = kMaxSamplesPerReclassify;
  std::vector<std::pair<std::chrono::nanoseconds, double>> times;
  times.reserve(operations_.size());
  double weight = 0;
  for (auto& [name, operation] : operations_) {
    operation.typical = operation.sketch.Quantile(kTypicalQuantile);
    times.emplace_back(operation.typical, operation.sketch.weight());
    weight += operation.sketch.weight();
  }
  std::sort(times.begin(), times.end());
  double seen = 0;
  for (const auto& [time, operation_weight] : times) {
    base_ = time;
    seen += operation_weight;
    if (seen >= kBaseShare * weight) {
      break;
    }
  }
  for (auto& [name, operation] : operations_) {
    const double factor = operation.size_class == SizeClass::kLong
                              ? options_.short_factor
                              : options_.long_factor;
    const bool is_long = operation.typical >= options_.min_long_time &&
                         operation.typical >= factor * base_;
    operation.size_class = is_long ? SizeClass::kLong : SizeClass::kShort;
  }
}

nlohmann::json OperationClassifier::Dump() const {
  nlohmann::json dump = nlohmann::json::object();
  for (const auto& [name, operation] : operations_) {
    dump[name] = {
        {"class", operation.size_class == SizeClass::kLong ? "long" : "short"},
        {"typical_ms", Milliseconds(operation.typical)},
        {"weight", operation.sketch.weight()}};
  }
  return dump;
}

}  // namespace figflow
