#ifndef ROUTING_POOL_SHARD_H_
#define ROUTING_POOL_SHARD_H_

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/json.h"

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Routing/dispatcher.h"
#include "Routing/edf_queue.h"
#include "Routing/leaving_target_set.h"
#include "Routing/operation_classifier.h"
#include "Routing/retry_budget.h"
#include "Routing/size_class.h"
#include "Routing/slot_allocator.h"
#include "Routing/wait_predictor.h"
#include "absl/container/flat_hash_map.h"

namespace figflow {

inline constexpr size_t kRefusals = static_cast<size_t>(Refusal::kStopping) + 1;

// Settings of a dispatcher.
struct RoutingOptions {
  SizeClassOptions size_class;
  // Maximum number of queued requests per pool and size class. Queues are kept
  // short by refusing requests by their predicted wait; these limits bound
  // memory while service times are unknown.
  std::array<size_t, kSizeClasses> queue_capacity{50'000, 10'000};
  // Initial estimates of service times by operation.
  std::map<std::string, std::chrono::milliseconds> declared_times;
};

// Metrics of one dispatcher, summed over its pools.
struct RoutingMetrics {
  explicit RoutingMetrics(MetricsRegistry& registry);

  std::array<Counter*, kRefusals> refusals{};
  std::array<Counter*, kSizeClasses> grants{};
  // Time from Submit to the grant.
  std::array<LatencyHistogram*, kSizeClasses> waits{};
  Counter* unknown_finishes = nullptr;
  Counter* promotions = nullptr;
};

// A callback with its result, to be invoked by the caller of PoolShard after it
// has released its lock.
struct Outcome {
  PermitCallback done;
  tl::expected<Permit, Refusal> result;
};
using Outcomes = std::vector<Outcome>;

// Admits, queues and grants the requests of one pool. Not thread-safe. Invokes
// no callback itself but adds it to `outcomes`.
class PoolShard {
 public:
  PoolShard(PoolId pool, const RoutingOptions& options, RoutingMetrics metrics);

  void Update(const PoolTable& table,
              const LeavingTargetSet& marks,
              MonoTime now,
              Outcomes& outcomes);
  // Removes all targets and refuses queued requests, because the pool is no
  // longer in the routing table.
  void Remove(MonoTime now, Outcomes& outcomes);
  void Submit(const WorkItem& item,
              MonoTime now,
              PermitCallback done,
              Outcomes& outcomes);
  bool Cancel(uint64_t item, Outcomes& outcomes);
  // Returns false if no request is in flight for the permit.
  bool Finish(const Permit& permit,
              const AttemptReport& report,
              MonoTime now,
              Outcomes& outcomes);
  bool TakeRetryToken(MonoTime now) { return retry_budget_.Take(now); }
  void MarkLeaving(const LeavingTarget& mark, MonoTime now, Outcomes& outcomes);
  void Tick(MonoTime now, Outcomes& outcomes);
  void Stop(Outcomes& outcomes);

  int InFlight(const InstanceId& target) const {
    return slot_allocator_.InFlightAt(target);
  }
  // Returns the free slots minus the queued requests as of the latest `now`
  // that was passed in; zero while stopping.
  int FreeSlots() const;
  bool removed_and_idle() const { return !listed_ && slot_allocator_.idle(); }
  nlohmann::json Dump() const;

 private:
  struct Grant {
    Permit permit;
    std::string operation;
    SizeClass size_class = SizeClass::kShort;
    MonoTime at;
    bool probe = false;
    // Whether the request has run for the long threshold.
    bool overlong = false;
  };

  EdfQueue& QueueOf(SizeClass size_class) { return queues_[Index(size_class)]; }
  std::optional<Refusal> CheckAdmission(const WorkItem& item,
                                        SizeClass size_class,
                                        MonoTime now) const;
  // Returns the number of slots that requests of the class can use now.
  int SlotsFor(SizeClass size_class, MonoTime now) const;
  // Returns the class to serve next, or nullopt if no slot is free for a queued
  // request.
  std::optional<SizeClass> NextClass(MonoTime now) const;
  void ServeQueues(MonoTime now, Outcomes& outcomes);
  void GrantPermit(QueuedWork work,
                   SizeClass size_class,
                   MonoTime now,
                   Outcomes& outcomes);
  void Refuse(PermitCallback done, Refusal refusal, Outcomes& outcomes);
  void RefuseExpired(MonoTime now, Outcomes& outcomes);
  void RefuseQueued(SizeClass size_class, Refusal refusal, Outcomes& outcomes);
  void RefuseUnservable(MonoTime now, Outcomes& outcomes);
  void PromoteOverlong(MonoTime now);
  void RecordAttempt(const Grant& grant,
                     const AttemptReport& report,
                     MonoTime now);

  PoolId pool_;
  RoutingMetrics metrics_;
  bool listed_ = false;
  bool stopping_ = false;
  MonoTime latest_now_{};
  OperationClassifier classifier_;
  SlotAllocator slot_allocator_;
  std::array<EdfQueue, kSizeClasses> queues_;
  std::array<WaitPredictor, kSizeClasses> predictors_;
  RetryBudget retry_budget_;
  absl::flat_hash_map<uint64_t, Grant> grants_;
  std::array<uint64_t, kRefusals> refusal_counts_{};
  std::array<uint64_t, kSizeClasses> grant_counts_{};
};

}  // namespace figflow

#endif  // ROUTING_POOL_SHARD_H_
