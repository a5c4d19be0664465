#ifndef COMMON_METRICS_H_
#define COMMON_METRICS_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include "absl/strings/string_view.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

class Counter {
 public:
  void Add(uint64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

// A value that goes up and down.
class Gauge {
 public:
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

// Durations in logarithmic buckets from 10 us to 1,000 s.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram&) = delete;
  LatencyHistogram& operator=(const LatencyHistogram&) = delete;
  void Record(std::chrono::nanoseconds duration);
  uint64_t Count() const;
  std::chrono::nanoseconds Sum() const;
  // Upper edge of the bucket that holds quantile `q` in [0, 1]; zero if empty.
  std::chrono::nanoseconds Quantile(double q) const;

 private:
  // Keeps Boost's templates out of the files that only record.
  struct Buckets;

  mutable absl::Mutex mutex_;
  const std::unique_ptr<Buckets> buckets_ ABSL_PT_GUARDED_BY(mutex_);
  std::chrono::nanoseconds sum_ ABSL_GUARDED_BY(mutex_){0};
  uint64_t count_ ABSL_GUARDED_BY(mutex_) = 0;
};

// Named metrics of one process. Returned references stay valid for the life of
// the registry. Names follow "figflow_<subsystem>_<what>_total" for counters;
// labels are part of the name, as in `figflow_requests_total{class="short"}`.
// Histograms are named without a unit: the exposition adds "_seconds".
class MetricsRegistry {
 public:
  Counter& GetCounter(absl::string_view name);
  Gauge& GetGauge(absl::string_view name);
  LatencyHistogram& GetHistogram(absl::string_view name);

  // Prometheus text exposition: counters, gauges, and histograms as summaries
  // in seconds with quantiles 0.5, 0.9, 0.99.
  std::string Expose() const;

 private:
  mutable absl::Mutex mutex_;
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> counters_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::unique_ptr<Gauge>, std::less<>> gauges_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>>
      histograms_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // COMMON_METRICS_H_
