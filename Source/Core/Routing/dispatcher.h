#ifndef ROUTING_DISPATCHER_H_
#define ROUTING_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "absl/strings/string_view.h"

#include <tl/expected.hpp>

namespace figflow {

// A target of this daemon's data centre with this daemon's share of it.
struct TargetShare {
  InstanceId id;
  // "ip:port"
  std::string address;
  RackId rack;
  // Boot number; a leaving mark of a lower boot does not apply.
  uint64_t boot = 0;
  // Requests this daemon may have in flight at the target.
  int slots = 0;
  // Connections this daemon may hold to the target.
  int connections = 0;
};

struct PoolTable {
  PoolId pool;
  ProjectId project;
  std::vector<TargetShare> targets;
  // Part of the pool's slots in [0, 1] that long work may hold.
  double long_share = 0.5;
};

// What this daemon may send where; replaces the previous table whole.
struct RoutingTable {
  std::vector<PoolTable> pools;
};

struct WorkItem {
  // Unique within the process.
  uint64_t id = 0;
  PoolId pool;
  // Method and path without query and without numeric path segments; requests
  // with the same operation are expected to take similar time.
  std::string operation;
  MonoTime deadline;
};

// The right to send one request to one target. Ends with Finish.
struct Permit {
  uint64_t item = 0;
  PoolId pool;
  InstanceId target;
  std::string address;
  uint64_t boot = 0;
};

enum class Refusal {
  kUnknownPool,
  // No target of the pool takes work here: the caller may try a peer.
  kNoTarget,
  kQueueFull,
  // The predicted wait is longer than the time to the deadline.
  kWouldMissDeadline,
  kDeadlinePassed,
  kCancelled,
  kStopping,
};

// Stable lower-case name such as "queue-full".
absl::string_view RefusalName(Refusal refusal);

enum class AttemptEnd {
  kAnswered,
  // The target refused the connection; nothing was sent.
  kRefused,
  // Failed after the request may have left.
  kFailed,
  kTimedOut,
  kCancelled,
};

struct AttemptReport {
  AttemptEnd end = AttemptEnd::kAnswered;
  // From sending the request to the whole response.
  std::chrono::nanoseconds service_time{0};
  // The response showed that the target is leaving.
  bool leaving = false;
};

struct LeavingMark {
  InstanceId target;
  uint64_t boot = 0;
};

using PermitCallback = std::function<void(tl::expected<Permit, Refusal>)>;

// Admission, queues and target choice. Thread-safe; one shard per pool.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  virtual void UpdateTable(const RoutingTable& table, MonoTime now) = 0;

  // Calls `done` exactly once, at once or later, from any thread and without
  // locks held.
  virtual void Submit(const WorkItem& item,
                      MonoTime now,
                      PermitCallback done) = 0;

  // Cancels a queued item: its callback gets kCancelled. Returns false if the
  // item is not queued any more.
  virtual bool Cancel(const PoolId& pool, uint64_t item) = 0;

  virtual void Finish(const Permit& permit,
                      const AttemptReport& report,
                      MonoTime now) = 0;

  // Takes a token of the pool's retry budget; false: no further attempt.
  virtual bool TakeRetryToken(const PoolId& pool, MonoTime now) = 0;

  virtual void MarkLeaving(const LeavingMark& mark, MonoTime now) = 0;
  // Marks set here in the last few seconds, for gossip.
  virtual std::vector<LeavingMark> RecentLeavingMarks(MonoTime now) const = 0;

  // Requests in flight at a target that were granted for `pool`.
  virtual int InFlight(const PoolId& pool, const InstanceId& target) const = 0;
  // Free slots of this daemon's share, for gossip.
  virtual std::vector<std::pair<PoolId, int>> FreeSlots() const = 0;

  // Drops queued items past their deadline and moves time-driven state.
  virtual void Tick(MonoTime now) = 0;

  // Refuses everything queued and new with kStopping.
  virtual void Stop(MonoTime now) = 0;
};

}  // namespace figflow

#endif  // ROUTING_DISPATCHER_H_
