#ifndef SCHEDULING_FLEET_PLAN_H_
#define SCHEDULING_FLEET_PLAN_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Scheduling/job_spec.h"
#include "absl/strings/string_view.h"

namespace figflow {

class CustomerKeys;

// Placement policy of a queue, decided by a service that lists the workers that
// may run a stage of the queue's jobs.
struct PlacementPolicy {
  // Time that the service takes for one query, and for each worker named in it.
  std::chrono::milliseconds query_time{0};
  std::chrono::milliseconds time_per_worker{0};
  // Validity of a ticket.
  std::chrono::milliseconds ticket_lifetime{0};
};

// A queue of jobs and the paths that lead to it.
struct QueueConfig {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string pool;
  // 0 is the highest priority; work of a higher priority may preempt other
  // work.
  int priority = 0;
  // Number of failed runs of a task that make its job fail.
  int max_attempts = 1;
  // A job's objective is `stretch` times the duration of its longest chain of
  // work plus `objective`.
  double stretch = 1.0;
  std::chrono::milliseconds objective{0};
  std::chrono::milliseconds timeout{0};
  std::optional<PlacementPolicy> policy;
  // Callers need no key.
  bool open = false;
};

// A customer whose callers identify themselves with a key.
struct CustomerConfig {
  std::string name;
  std::vector<std::string> keys;
  // Share of the capacity when all of it is in use, relative to the other
  // customers; also the number of jobs a second that the customer may submit. 0
  // if the plan sets none.
  double weight = 0;
  // Maximum of what the customer may have running on all workers. An amount of
  // 0 is no limit.
  Resources cap;
};

// Limits on callers' HTTP requests. 0: the plan sets none, and the daemon's own
// limit holds.
struct CallLimits {
  int64_t max_header_bytes = 0;
  int64_t max_body_bytes = 0;
  std::chrono::milliseconds header_timeout{0};
  std::chrono::milliseconds idle_timeout{0};
};

struct PoolConfig {
  std::string name;
  // Workers refuse tasks that exceed their free capacity; otherwise they start
  // every task that they are ordered to start.
  bool rejects_overload = false;
  // Instances of this pool are switched off.
  bool spare = false;
  int max_connections = 64;
};

// The operators' configuration of queues and pools.
struct FleetPlan {
  uint64_t version = 0;
  std::vector<QueueConfig> queues;
  std::vector<PoolConfig> pools;
  // Calls to queues that are not open need a customer's key. False for plans
  // without a list of customers.
  bool requires_keys = false;
  std::vector<CustomerConfig> customers;
  // Table of the customers' keys; null if the plan has no list of customers.
  std::shared_ptr<const CustomerKeys> keys;
  CallLimits call_limits;

  // Returns the queue of `host` with the longest prefix that `path` begins
  // with, or null if there is none.
  const QueueConfig* FindQueue(absl::string_view host,
                               absl::string_view path) const;
  const QueueConfig* FindQueueByName(absl::string_view name) const;
  const PoolConfig* FindPoolByName(absl::string_view name) const;
  const CustomerConfig* FindCustomer(absl::string_view name) const;
  // Returns whether the plan has the pool, and its instances are not spare.
  bool HasActivePool(absl::string_view name) const;
};

// Time limits set by the platform's workers and contracts, the same for all
// pools.
struct ExecutionBounds {
  // Maximum lease that a worker grants.
  std::chrono::milliseconds max_lease{6'000};
  // Maximum duration of a stop.
  std::chrono::milliseconds stop_time{500};
  // How long a gang member waits for the other members.
  std::chrono::milliseconds gang_wait{3'000};
  // Largest record that the store takes, in bytes. A transaction holds no more
  // in total, beside a single record.
  size_t max_record_bytes = size_t{1} << 20;
  // How long the status of a finished job can be queried.
  std::chrono::milliseconds status_retention{120'000};
  // How long before its due time an occurrence may start.
  std::chrono::milliseconds early_start{0};
  // How long a perpetual task may be out of service before it counts as
  // unavailable.
  std::chrono::milliseconds unavailable_notice{5'000};
  // How long a serving task may exceed its latency target because of fillers.
  std::chrono::milliseconds harm_time{4'000};
  // Maximum time from the acknowledgement of a plan until it is in force.
  std::chrono::milliseconds plan_apply{2'000};
  // A call that arrives this much later than a call decided by a plan is not
  // decided by an earlier plan.
  std::chrono::milliseconds plan_rollback_slack{250};
  // A request that arrives this long after the acknowledgement of a plan that
  // withdraws its key must not be carried out, on any daemon. 0: the plan has
  // to be in force in time on daemons that are in touch with the store only.
  std::chrono::milliseconds key_withdrawal{0};
  // Fraction by which what a customer has running may exceed its cap.
  double cap_overage = 0.1;
  // A customer is within its rate if, in each span of this length, it submits
  // no more than `weight` jobs a second, `cap_overage` more, and
  // `submission_burst` jobs.
  std::chrono::milliseconds submission_window{5'000};
  int submission_burst = 20;
  // Customers share a full pool by their weights.
  bool fair_shares = false;
  // Factor by which a gang on several racks, or a task away from its data,
  // takes longer.
  double far_factor = 2.0;
};

}  // namespace figflow

#endif  // SCHEDULING_FLEET_PLAN_H_
