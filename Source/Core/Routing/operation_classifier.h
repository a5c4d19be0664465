#ifndef ROUTING_OPERATION_CLASSIFIER_H_
#define ROUTING_OPERATION_CLASSIFIER_H_

#include <chrono>
#include <string>

#include "Common/json.h"

#include "Common/clock.h"
#include "Routing/quantile_sketch.h"
#include "Routing/size_class.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Settings of an OperationClassifier.
struct SizeClassOptions {
  // Time after which a sample has half its weight.
  std::chrono::seconds half_life{30};
  // An operation is long if its typical time is at least `long_factor` times
  // that of the pool's shortest operations. The threshold is relative because
  // the services of a deployment differ by orders of magnitude; a pool whose
  // operations all take the same time has no long operation.
  double long_factor = 4;
  // A long operation becomes short below this factor. It is lower than
  // `long_factor`, so that an operation near the threshold does not change its
  // class with every sample.
  double short_factor = 3;
  // Operations with a shorter typical time are never long, because they do not
  // delay others noticeably.
  std::chrono::milliseconds min_long_time{10};
  // Maximum number of operations tracked per pool; bounds memory if callers
  // send arbitrary paths.
  size_t max_operations = 128;
};

// Classifies the operations of one pool as short or long by their measured
// service times. Not thread-safe.
class OperationClassifier {
 public:
  explicit OperationClassifier(SizeClassOptions options);

  // Sets the initial estimate of an operation; a few measurements outweigh it.
  void DeclareServiceTime(absl::string_view operation,
                          std::chrono::nanoseconds time,
                          MonoTime now);
  void Observe(absl::string_view operation,
               std::chrono::nanoseconds service_time,
               MonoTime now);
  // Returns the class of the operation. An unknown operation is short until one
  // of its requests has run for LongThreshold.
  SizeClass Classify(absl::string_view operation) const;
  // Returns the 75% quantile of the operation's service time; zero while
  // unknown.
  std::chrono::nanoseconds TypicalServiceTime(
      absl::string_view operation) const;
  // Returns the service time from which a request counts as long; max() before
  // the first measurement or declaration.
  std::chrono::nanoseconds LongThreshold() const;

  nlohmann::json Dump() const;

 private:
  struct Operation {
    QuantileSketch sketch;
    SizeClass size_class = SizeClass::kShort;
    std::chrono::nanoseconds typical{0};
    MonoTime last_seen{};
  };

  Operation& Find(absl::string_view operation, MonoTime now);
  void EvictLeastRecentlySeen();
  void Reclassify();

  SizeClassOptions options_;
  absl::flat_hash_map<std::string, Operation> operations_;
  std::chrono::nanoseconds base_{0};
  int samples_until_reclassify_ = 0;
};

}  // namespace figflow

#endif  // ROUTING_OPERATION_CLASSIFIER_H_
