#ifndef SCHEDULING_CUSTOMER_LIMITS_H_
#define SCHEDULING_CUSTOMER_LIMITS_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "Common/clock.h"
#include "Scheduling/customer_load.h"
#include "Scheduling/customer_usage.h"
#include "Scheduling/fleet_plan.h"

namespace figflow {

// Holds the grants of one scope and decides whether a task of a customer with a
// cap may start: only if what the customer occupies in the scope, including the
// task, fits the unexpired grant. Without a grant nothing of it starts.
class CustomerLimits {
 public:
  // `owner_fence` identifies the owner in its reports.
  explicit CustomerLimits(uint64_t owner_fence);

  void SetPlan(const FleetPlan& plan);
  // Applies an order of the instance controller. Ignores grants that are based
  // on a report of another owner, or that are older than those held.
  void OnOrders(const CustomerGrantOrders& orders, MonoTime now);

  // Returns whether the plan has a cap for the customer.
  bool IsLimited(const std::string& customer) const {
    return limited_.count(customer) > 0;
  }
  // Returns how many of `count` units of `size` may start for a customer that
  // occupies `occupied`.
  int CountFitting(const std::string& customer,
                   const Resources& occupied,
                   const Resources& size,
                   int count,
                   MonoTime now) const;
  // Returns whether a customer that occupies `occupied` is not above its grant.
  bool IsWithinGrant(const std::string& customer,
                     const Resources& occupied,
                     MonoTime now) const;
  // Returns what the unexpired grant allows.
  Resources GrantOf(const std::string& customer, MonoTime now) const;

  // Counts tasks that wait since the last call of BeginReport. Returns how many
  // of them fit the grant beside those counted before.
  int CountWaiting(const std::string& customer,
                   const Resources& occupied,
                   const Resources& size,
                   int count,
                   bool as_a_whole,
                   MonoTime now);
  void BeginReport() { waiting_.clear(); }
  // Returns the report of the tasks that were counted.
  CustomerLoadReport Report(const CustomerUsage& usage, MonoTime now) const;

 private:
  // Returns the unexpired grant if its sum goes by a cap that may be in force.
  const CustomerGrant* UsableGrant(const std::string& customer,
                                   MonoTime now) const;

  struct Waiting {
    Resources request;
    // The part of it that fits the grant.
    Resources fitting;
    Resources largest_unit;
    int tasks_over_grant = 0;
  };

  const uint64_t owner_fence_;
  // Customers with a cap, by the owner's plan.
  std::map<std::string, Resources> limited_;
  uint64_t plan_version_ = 0;
  // An order with grants or announcements has arrived.
  bool has_orders_ = false;
  uint64_t controller_fence_ = 0;
  GrantSequence held_;
  // The plan that the held grants go by.
  uint64_t held_plan_ = 0;
  MonoTime expires_at_ = MonoTime::min();
  std::map<std::string, CustomerGrant> granted_;
  std::map<std::string, Waiting> waiting_;
};

}  // namespace figflow

#endif  // SCHEDULING_CUSTOMER_LIMITS_H_
