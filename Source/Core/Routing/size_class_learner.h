#ifndef ROUTING_SIZE_CLASS_LEARNER_H_
#define ROUTING_SIZE_CLASS_LEARNER_H_

#include <chrono>
#include <string>

#include "Common/json.h"

#include "Common/clock.h"
#include "Routing/quantile_sketch.h"
#include "Routing/size_class.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace figflow {

struct SizeClassOptions {
  std::chrono::seconds half_life{30};
  // An operation is long when its typical time is at least `long_factor` times
  // that of the pool's shortest operations. The limit is relative because the
  // services of a deployment differ by orders of magnitude; a pool whose
  // operations all take the same time has no long work.
  double long_factor = 4;
  // A long operation becomes short below this factor. The gap keeps an
  // operation near the limit from changing its class with every sample.
  double short_factor = 3;
  // Never long below this: such work does not delay others noticeably.
  std::chrono::milliseconds long_floor{10};
  // Bounds the memory of a pool whose callers invent paths.
  size_t max_operations = 128;
};

// Learns the size class of one pool's operations from measured service times.
// Not thread-safe.
class SizeClassLearner {
 public:
  explicit SizeClassLearner(SizeClassOptions options);

  // Sets the starting value of an operation; a few measurements outweigh it.
  void Declare(absl::string_view operation,
               std::chrono::nanoseconds time,
               MonoTime now);
  void Observe(absl::string_view operation,
               std::chrono::nanoseconds service_time,
               MonoTime now);
  // Unknown operations are short until a request has run for `LongLimit`.
  SizeClass Classify(absl::string_view operation) const;
  // Time that three quarters of an operation's requests take at most; zero
  // while unknown.
  std::chrono::nanoseconds Typical(absl::string_view operation) const;
  // Typical time from which work counts as long; max() while nothing is known.
  std::chrono::nanoseconds LongLimit() const;

  nlohmann::json Dump() const;

 private:
  struct Operation {
    QuantileSketch sketch;
    SizeClass size_class = SizeClass::kShort;
    std::chrono::nanoseconds typical{0};
    MonoTime last_seen{};
  };

  Operation& Find(absl::string_view operation, MonoTime now);
  void EvictOldest();
  void Reclassify();

  SizeClassOptions options_;
  absl::flat_hash_map<std::string, Operation> operations_;
  std::chrono::nanoseconds base_{0};
  int samples_until_reclassify_ = 0;
};

}  // namespace figflow

#endif  // ROUTING_SIZE_CLASS_LEARNER_H_
