#include "Common/metrics.h"

#include <algorithm>

#include <boost/histogram.hpp>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 1e3;
// 32 buckets per factor of ten: a quantile is at most 7.5% too high.
constexpr unsigned kBuckets = 256;

double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

template <typename Map>
auto& FindOrCreate(Map& metrics, absl::string_view name) {
  auto it = metrics.find(name);
  if (it == metrics.end()) {
    using Metric = typename Map::mapped_type::element_type;
    it = metrics.emplace(std::string(name), std::make_unique<Metric>()).first;
  }
  return *it->second;
}

// One line a metric, with the type before the first one of each name.
template <typename Map>
void AppendValues(const Map& metrics,
                  absl::string_view type,
                  std::string* text) {
  absl::string_view last;
  for (const auto& [name, metric] : metrics) {
    const absl::string_view family(name.data(),
                                   std::min(name.find('{'), name.size()));
    if (family != last) {
      absl::StrAppend(text, "# TYPE ", family, " ", type, "\n");
      last = family;
    }
    absl::StrAppend(text, name, " ", metric->value(), "\n");
  }
}

}  // namespace

struct LatencyHistogram::Buckets {
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));

  Histogram histogram = boost::histogram::make_histogram(
      Axis(kBuckets, kLowestSeconds, kHighestSeconds));
};

LatencyHistogram::LatencyHistogram() : buckets_(std::make_unique<Buckets>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(std::chrono::nanoseconds duration) {
  absl::MutexLock lock(&mutex_);
  buckets_->histogram(std::max(Seconds(duration), kLowestSeconds));
  sum_ += duration;
  ++count_;
}

uint64_t LatencyHistogram::Count() const {
  absl::MutexLock lock(&mutex_);
  return count_;
}

std::chrono::nanoseconds LatencyHistogram::Sum() const {
  absl::MutexLock lock(&mutex_);
  return sum_;
}

std::chrono::nanoseconds LatencyHistogram::Quantile(double q) const {
  absl::MutexLock lock(&mutex_);
  if (count_ == 0) {
    return std::chrono::nanoseconds::zero();
  }
  const double wanted = q * static_cast<double>(count_);
  double seen = 0;
  for (auto&& cell : boost::histogram::indexed(
           buckets_->histogram, boost::histogram::coverage::all)) {
    seen += static_cast<double>(*cell);
    if (seen >= wanted && seen > 0) {
      const double upper = std::min(cell.bin().upper(), kHighestSeconds);
      return std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(upper));
    }
  }
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double>(kHighestSeconds));
}

Counter& MetricsRegistry::GetCounter(absl::string_view name) {
  absl::MutexLock lock(&mutex_);
  return FindOrCreate(counters_, name);
}

Gauge& MetricsRegistry::GetGauge(absl::string_view name) {
  absl::MutexLock lock(&mutex_);
  return FindOrCreate(gauges_, name);
}

LatencyHistogram& MetricsRegistry::GetHistogram(absl::string_view name) {
  absl::MutexLock lock(&mutex_);
  return FindOrCreate(histograms_, name);
}

std::string MetricsRegistry::Expose() const {
  absl::MutexLock lock(&mutex_);
  std::string text;
  AppendValues(counters_, "counter", &text);
  AppendValues(gauges_, "gauge", &text);
  for (const auto& [name, histogram] : histograms_) {
    absl::StrAppend(&text, "# TYPE ", name, "_seconds summary\n");
    for (const double q : {0.5, 0.9, 0.99}) {
      absl::StrAppend(&text, name, "_seconds{quantile=\"", q, "\"} ",
                      Seconds(histogram->Quantile(q)), "\n");
    }
    absl::StrAppend(&text, name, "_seconds_sum ", Seconds(histogram->Sum()),
                    "\n", name, "_seconds_count ", histogram->Count(), "\n");
  }
  return text;
}

}  // namespace figflow
