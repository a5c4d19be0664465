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

// A target of the daemon's data centre, with the slots and connections that
// this daemon may use.
struct TargetShare {
  InstanceId id;
  // "ip:port"
  std::string address;
  RackId rack;
  // Boot number. A report that the target is leaving applies only to the boot
  // it names and to earlier ones.
  uint64_t boot = 0;
  // Maximum number of requests of this daemon in flight at the target.
  int slots = 0;
  // Maximum number of connections of this daemon to the target.
  int connections = 0;
};

// The targets of one pool and its limit for long requests.
struct PoolTable {
  PoolId pool;
  ProjectId project;
  std::vector<TargetShare> targets;
  // Fraction of the pool's slots, in [0, 1], that long requests may hold.
  double long_share = 0.5;
};

// The targets of all pools and this daemon's limits at them. A new table
// replaces the previous one as a whole.
struct RoutingTable {
  std::vector<PoolTable> pools;
};

// A caller's request that needs a slot at a target of its pool.
struct WorkItem {
  // Unique within the process.
  uint64_t id = 0;
  PoolId pool;
  // Method and path, without the query and without numeric path segments.
  // Requests with the same operation are expected to have similar service
  // times.
  std::string operation;
  MonoTime deadline;
};

// Permission to send one request to one target. Holds a slot of the target
// until Dispatcher::Finish is called.
struct Permit {
  uint64_t item = 0;
  PoolId pool;
  InstanceId target;
  std::string address;
  uint64_t boot = 0;
};

// Reason why a request is refused a permit.
enum class Refusal {
  kUnknownPool,
  // No target of the pool accepts work from this daemon; the caller may try a
  // peer.
  kNoTarget,
  kQueueFull,
  // The predicted wait and service time exceed the time left to the deadline.
  kWouldMissDeadline,
  kDeadlinePassed,
  kCancelled,
  kStopping,
};

// Returns a stable lower-case name, such as "queue-full".
absl::string_view RefusalName(Refusal refusal);

enum class AttemptOutcome {
  kAnswered,
  // The target refused the connection; nothing was sent.
  kRefused,
  // The attempt failed after the request may have been sent.
  kFailed,
  kTimedOut,
  kCancelled,
};

struct AttemptReport {
  AttemptOutcome end = AttemptOutcome::kAnswered;
  // Time from sending the request to receiving the whole response.
  std::chrono::nanoseconds service_time{0};
  // The response reported that the target is leaving.
  bool leaving = false;
};

struct LeavingTarget {
  InstanceId target;
  uint64_t boot = 0;
};

using PermitCallback = std::function<void(tl::expected<Permit, Refusal>)>;

// Admits and queues requests and chooses their targets. Thread-safe; has one
// shard per pool.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  // Replaces the routing table.
  virtual void UpdateTable(const RoutingTable& table, MonoTime now) = 0;

  // Requests a permit for the item. Calls `done` exactly once, before or after
  // Submit returns, from any thread and with no lock held.
  virtual void Submit(const WorkItem& item,
                      MonoTime now,
                      PermitCallback done) = 0;

  // Cancels a queued item, whose callback then receives kCancelled. Returns
  // false if the item is no longer queued.
  virtual bool Cancel(const PoolId& pool, uint64_t item) = 0;

  // Releases the permit's slot and records the outcome of the attempt.
  virtual void Finish(const Permit& permit,
                      const AttemptReport& report,
                      MonoTime now) = 0;

  // Takes a token from the pool's retry budget. Returns false if there is none;
  // the request must not be retried then.
  virtual bool TakeRetryToken(const PoolId& pool, MonoTime now) = 0;

  // Stops granting requests to the target until it has a higher boot number.
  virtual void MarkLeaving(const LeavingTarget& mark, MonoTime now) = 0;
  // Returns the targets recorded as leaving in the last few seconds, for
  // gossip.
  virtual std::vector<LeavingTarget> RecentLeavingTargets(
      MonoTime now) const = 0;

  // Returns the number of requests in flight at the target that were granted
  // for `pool`.
  virtual int InFlight(const PoolId& pool, const InstanceId& target) const = 0;
  // Returns the free slots of this daemon's share by pool, for gossip.
  virtual std::vector<std::pair<PoolId, int>> FreeSlots() const = 0;

  // Refuses queued items past their deadline and updates state that changes
  // with time, such as probation of targets.
  virtual void Tick(MonoTime now) = 0;

  // Refuses all queued and all further items with kStopping.
  virtual void Stop(MonoTime now) = 0;
};

}  // namespace figflow

#endif  // ROUTING_DISPATCHER_H_
