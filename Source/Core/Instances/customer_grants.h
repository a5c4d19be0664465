#ifndef INSTANCES_CUSTOMER_GRANTS_H_
#define INSTANCES_CUSTOMER_GRANTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/customer_load.h"
#include "Scheduling/fleet_plan.h"

namespace figflow {

// Grants the owners of scopes what each customer with a cap may occupy there.
//
// Keeps a bound of what each scope can occupy: the larger of what its latest
// report lists and of what each grant allows that may be in force, or may have
// been since that report. The sum of the bounds stays within the cap: a grant
// rises only by what the sum leaves free, and a lower grant counts only once
// the owner has reported it.
class CustomerGrants {
 public:
  // How long a grant lasts. Longer than the take-over of the controller: 1.5 s
  // of its lease, 1 s to acquire it and the first two rounds of orders.
  static constexpr std::chrono::milliseconds kGrantDuration{5'000};

  // Load of one customer in all scopes.
  struct CustomerState {
    std::string customer;
    double weight = 0;
    Resources cap;
    Resources occupied;
    Resources waiting;
    Resources granted;
    int tasks_over_grant = 0;
  };

  // `controller_fence` is higher than that of each earlier controller.
  explicit CustomerGrants(uint64_t controller_fence);

  // `scopes` are those that should have an owner now.
  void SetPlan(const FleetPlan& plan,
               const std::set<std::string>& scopes,
               MonoTime now);
  // Handles the response to an order that was sent at `sent_at`.
  void OnReport(const std::string& scope,
                const CustomerLoadReport& report,
                MonoTime sent_at,
                MonoTime now);
  // Returns the orders for these scopes, which count as sent. No order grants
  // anything if `may_grant` is false, because this controller may no longer be
  // the only one, or before all scopes have reported.
  std::map<std::string, CustomerGrantOrders>
  Prepare(const std::set<std::string>& scopes, bool may_grant, MonoTime now);

  // Returns whether the state of all scopes is known.
  bool IsComplete() const;
  bool has_caps() const { return !caps_.empty(); }
  std::vector<CustomerState> States() const;

 private:
  // Amounts by customer.
  using Amounts = std::map<std::string, Resources>;

  struct Grant {
    GrantSequence sequence;
    // When it has certainly expired.
    MonoTime expired_by;
    Amounts amounts;
  };
  struct Scope {
    // In the plan's layout.
    bool listed = false;
    MonoTime unlisted_at;
    // Has reported to this controller.
    bool known = false;
    MonoTime received_at;
    CustomerLoadReport report;
    std::map<std::string, CustomerLoad> loads;
    // Grants that may be in force, or may have been since the report.
    std::vector<Grant> grants;
    // When the customer last had waiting work or something running here.
    std::map<std::string, MonoTime> last_demand;
    // Since when the customer has waited here without occupying more.
    std::map<std::string, MonoTime> starved_since;
  };
  struct Demand;
  struct Cap {
    Resources amount;
    double weight = 0;
    // The first plan known to limit the same resources. An owner with an
    // earlier one may start any amount.
    uint64_t limited_since = 0;
  };

  // Returns the bound of what the customer can occupy in the scope.
  static Resources BoundOf(const Scope& scope, const std::string& customer);
  static CustomerLoad LoadOf(const Scope& scope, const std::string& customer);
  static void UpdateDemand(Scope& scope,
                           const std::map<std::string, CustomerLoad>& before,
                           MonoTime now);
  void ForgetScopes(MonoTime now);
  // Returns whether all owners limit the customer.
  bool IsLimitedEverywhere(const Cap& cap) const;
  // Makes room for the largest unit of `demand`, which does not fit, by lower
  // targets of other scopes.
  static void Reserve(Demand& demand,
                      const Resources& cap,
                      std::vector<Demand>& demands,
                      Resources& free);
  // Returns what each scope should be granted, by scope, if nothing were
  // granted yet.
  std::map<std::string, Resources> Targets(const std::string& customer,
                                           const Resources& cap,
                                           MonoTime now) const;
  void GrantCustomer(const std::string& customer,
                     const Resources& cap,
                     MonoTime now,
                     std::map<std::string, CustomerGrantOrders>* orders) const;

  const uint64_t controller_fence_;
  uint64_t next_number_ = 1;
  // A later controller has given orders.
  bool superseded_ = false;
  // All scopes were known at some time.
  bool complete_ = false;
  uint64_t plan_version_ = 0;
  MonoTime next_grants_at_ = MonoTime::min();
  std::map<std::string, Cap> caps_;
  std::map<std::string, Scope> scopes_;
};

}  // namespace figflow

#endif  // INSTANCES_CUSTOMER_GRANTS_H_
