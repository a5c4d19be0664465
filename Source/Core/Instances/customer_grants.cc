#include "Instances/customer_grants.h"

#include <algorithm>
#include <array>
#include <utility>

namespace figflow {
namespace {

using std::chrono::milliseconds;

// Rates of two clocks differ by less than 2%; the rest covers rounding.
constexpr double kClockRateMargin = 1.02;
constexpr milliseconds kExpiryMargin{50};
// Minimum time that a grant must have left to be worth sending. A scope that
// has not reported for the rest of the duration gets none, which also bounds
// the number of grants that may be in force.
constexpr milliseconds kMinGrantLeft{2'500};
// How long a scope counts after it has left the layout: its last grant has
// expired, and the leases of its tasks (6 s, twice with a take-over).
constexpr std::chrono::seconds kUnlistedRetention{20};
// A scope counts as used by a customer for this long after its last work there:
// queues peak in turns of some seconds.
constexpr std::chrono::seconds kRecentDemand{20};
// Waiting time after which room is made for the largest unit of a scope at the
// expense of other scopes, how long this lasts, and the interval at which it is
// repeated. Most tasks end within 2 s, and the other scopes' tasks start again
// before they have waited for 3 s (R6).
constexpr milliseconds kStarvedTime{1'000};
constexpr milliseconds kReservationTime{2'000};
constexpr milliseconds kReservationInterval{4'000};
// Maximum number of scopes that get headroom for a customer without recent work
// there. With more, a share would be smaller than a task, and each order would
// list each customer.
constexpr size_t kMaxIdleShares = 16;

// Grants are computed less often if there are many customers and scopes, so
// that this takes at most about a twentieth of a core: a measured 0.8 us for
// each pair.
constexpr std::chrono::microseconds kGrantIntervalPerPair{16};
constexpr std::chrono::milliseconds kMaxGrantInterval{250};

constexpr std::array<int64_t Resources::*, 3> kAmounts = {
    &Resources::cpu_millicores, &Resources::memory_mb,
    &Resources::accelerators};

MonoTime::duration Stretched(milliseconds duration) {
  return std::chrono::duration_cast<MonoTime::duration>(duration *
                                                        kClockRateMargin) +
         kExpiryMargin;
}

void RaiseTo(Resources& value, const Resources& other) {
  for (const auto amount : kAmounts) {
    value.*amount = std::max(value.*amount, other.*amount);
  }
}

// Adds up to `wanted[i]` to `shares[i]`, equally until each wish is met, and at
// most `available` in total. Returns what is left of it.
int64_t ShareEqually(int64_t available,
                     const std::vector<int64_t>& wanted,
                     std::vector<int64_t>& shares) {
  std::vector<size_t> sequence(wanted.size());
  for (size_t i = 0; i < sequence.size(); ++i) {
    sequence[i] = i;
  }
  std::stable_sort(sequence.begin(), sequence.end(),
                   [&](size_t a, size_t b) { return wanted[a] < wanted[b]; });
  for (size_t i = 0; i < sequence.size() && available > 0; ++i) {
    const auto left = static_cast<int64_t>(sequence.size() - i);
    const int64_t share = std::min(wanted[sequence[i]], available / left);
    shares[sequence[i]] += share;
    available -= share;
  }
  return available;
}

// Returns whether room is to be made for a unit that waits since `since`.
bool IsReservationTime(MonoTime since, MonoTime now) {
  return since != MonoTime::max() && now - since >= kStarvedTime &&
         (now - since - kStarvedTime) % kReservationInterval < kReservationTime;
}

}  // namespace

// Demand of a customer in one scope.
struct CustomerGrants::Demand {
  const std::string* scope;
  CustomerLoad load;
  MonoTime starved_since;
  Resources target;
};

CustomerGrants::CustomerGrants(uint64_t controller_fence)
    : controller_fence_(controller_fence) {}

void CustomerGrants::SetPlan(const FleetPlan& plan,
                             const std::set<std::string>& scopes,
                             MonoTime now) {
  plan_version_ = plan.version;
  const std::map<std::string, Cap> earlier = std::exchange(caps_, {});
  for (const CustomerConfig& customer : plan.customers) {
    if (customer.cap == Resources()) {
      continue;
    }
    const auto before = earlier.find(customer.name);
    bool was_limited = before != earlier.end();
    for (const auto amount : kAmounts) {
      was_limited = was_limited && (customer.cap.*amount == 0 ||
                                    before->second.amount.*amount > 0);
    }
    caps_[customer.name] = {
        customer.cap, customer.weight,
        was_limited ? before->second.limited_since : plan.version};
  }
  if (caps_.empty()) {
    // Without orders there are no reports, so what is known becomes outdated.
    // The owners report which grants they hold once there are caps again.
    scopes_.clear();
    complete_ = false;
    return;
  }
  for (auto& [name, scope] : scopes_) {
    if (scope.listed && scopes.count(name) == 0) {
      scope.listed = false;
      scope.unlisted_at = now;
    }
  }
  for (const std::string& name : scopes) {
    scopes_[name].listed = true;
  }
}

bool CustomerGrants::IsComplete() const {
  return std::all_of(scopes_.begin(), scopes_.end(), [](const auto& entry) {
    return entry.second.known || !entry.second.listed;
  });
}

CustomerLoad CustomerGrants::LoadOf(const Scope& scope,
                                    const std::string& customer) {
  const auto load = scope.loads.find(customer);
  return load == scope.loads.end() ? CustomerLoad() : load->second;
}

Resources CustomerGrants::BoundOf(const Scope& scope,
                                  const std::string& customer) {
  Resources bound = LoadOf(scope, customer).occupied;
  for (const Grant& grant : scope.grants) {
    const auto amount = grant.amounts.find(customer);
    if (amount != grant.amounts.end()) {
      RaiseTo(bound, amount->second);
    }
  }
  return bound;
}

void CustomerGrants::OnReport(const std::string& name,
                              const CustomerLoadReport& report,
                              MonoTime sent_at,
                              MonoTime now) {
  if (!report.present) {
    return;
  }
  if (report.controller_fence > controller_fence_) {
    superseded_ = true;
    return;
  }
  Scope& scope = scopes_[name];
  // A former owner of the scope, or a report that a later one has overtaken.
  // Before an owner knows this controller it may take grants of earlier ones.
  if (report.controller_fence < controller_fence_ ||
      report.owner_fence < scope.report.owner_fence ||
      (report.owner_fence == scope.report.owner_fence &&
       report.made_at < scope.report.made_at)) {
    return;
  }
  // The owner ignores earlier grants than the one it holds. What started under
  // grants that had expired before the request was sent is in the report.
  scope.grants.erase(std::remove_if(scope.grants.begin(), scope.grants.end(),
                                    [&](const Grant& grant) {
                                      return grant.sequence < report.held ||
                                             grant.expired_by <= sent_at;
                                    }),
                     scope.grants.end());
  const std::map<std::string, CustomerLoad> before =
      std::exchange(scope.loads, {});
  Amounts held;
  for (const CustomerLoad& load : report.customers) {
    scope.loads[load.customer] = load;
    held[load.customer] = load.granted;
  }
  // Grants of an earlier controller.
  const bool is_known = std::any_of(
      scope.grants.begin(), scope.grants.end(),
      [&](const Grant& grant) { return grant.sequence == report.held; });
  if (!is_known && report.held_for.count() > 0) {
    scope.grants.push_back(
        {report.held, now + Stretched(report.held_for), std::move(held)});
  }
  scope.known = true;
  scope.received_at = now;
  scope.report = report;
  scope.report.customers.clear();
  UpdateDemand(scope, before, now);
}

void CustomerGrants::UpdateDemand(
    Scope& scope,
    const std::map<std::string, CustomerLoad>& before,
    MonoTime now) {
  for (auto it = scope.last_demand.begin(); it != scope.last_demand.end();) {
    it = now - it->second < kRecentDemand ? std::next(it)
                                          : scope.last_demand.erase(it);
  }
  std::map<std::string, MonoTime> starved;
  for (const auto& [customer, load] : scope.loads) {
    if (load.waiting == Resources() && load.occupied == Resources()) {
      continue;
    }
    scope.last_demand[customer] = now;
    if (load.tasks_over_grant > 0) {
      const auto since = scope.starved_since.find(customer);
      const auto earlier = before.find(customer);
      const bool grew = earlier != before.end() &&
                        !load.occupied.FitsIn(earlier->second.occupied);
      starved[customer] =
          since == scope.starved_since.end() || grew ? now : since->second;
    }
  }
  scope.starved_since = std::move(starved);
}

void CustomerGrants::ForgetScopes(MonoTime now) {
  for (auto it = scopes_.begin(); it != scopes_.end();) {
    const Scope& scope = it->second;
    it = !scope.listed && now - scope.unlisted_at > kUnlistedRetention
             ? scopes_.erase(it)
             : std::next(it);
  }
}

bool CustomerGrants::IsLimitedEverywhere(const Cap& cap) const {
  return std::all_of(scopes_.begin(), scopes_.end(), [&](const auto& entry) {
    const Scope& scope = entry.second;
    return !scope.listed || !scope.known ||
           scope.report.plan_version >= cap.limited_since;
  });
}

void CustomerGrants::Reserve(Demand& demand,
                             const Resources& cap,
                             std::vector<Demand>& demands,
                             Resources& free) {
  const Resources& unit = demand.load.largest_unit;
  demand.target += unit;
  free -= unit;
  for (const auto amount : kAmounts) {
    // A target below what runs lets tasks end without others in their place.
    while (cap.*amount > 0 && free.*amount < 0) {
      Demand* largest = nullptr;
      for (Demand& other : demands) {
        if (&other != &demand &&
            (largest == nullptr ||
             other.target.*amount > largest->target.*amount)) {
          largest = &other;
        }
      }
      if (largest == nullptr || largest->target.*amount == 0) {
        free.*amount = 0;
        break;
      }
      const int64_t taken = std::min(largest->target.*amount, -(free.*amount));
      largest->target.*amount -= taken;
      free.*amount += taken;
    }
  }
}

std::map<std::string, Resources> CustomerGrants::Targets(
    const std::string& customer,
    const Resources& cap,
    MonoTime now) const {
  // Those that have waited longest first.
  std::vector<Demand> demands;
  std::vector<const std::string*> recent;
  std::vector<const std::string*> idle;
  Resources free = cap;
  for (const auto& [name, scope] : scopes_) {
    const CustomerLoad load = LoadOf(scope, customer);
    free -= load.occupied;
    if (!scope.listed || !scope.known) {
      continue;
    }
    if (scope.last_demand.count(customer) > 0) {
      const auto since = scope.starved_since.find(customer);
      demands.push_back(
          {&name, load,
           since == scope.starved_since.end() ? MonoTime::max() : since->second,
           load.occupied});
      recent.push_back(&name);
    } else {
      idle.push_back(&name);
    }
  }
  std::map<std::string, Resources> targets;
  for (const auto amount : kAmounts) {
    if (cap.*amount > 0 && free.*amount < 0) {
      // The cap was lowered below what runs. While any scope could start up to
      // a grant, the sum could rise again as tasks end elsewhere.
      return targets;
    }
  }
  std::stable_sort(demands.begin(), demands.end(),
                   [](const Demand& a, const Demand& b) {
                     return a.starved_since < b.starved_since;
                   });
  // One unit for each scope. A share that is smaller than a task would be of no
  // use, so that none of several scopes could start anything.
  bool reserved = false;
  for (Demand& demand : demands) {
    const Resources& unit = demand.load.largest_unit;
    bool fits = !(unit == Resources());
    for (const auto amount : kAmounts) {
      fits = fits && (cap.*amount == 0 || unit.*amount <= free.*amount);
    }
    if (fits) {
      demand.target += unit;
      free -= unit;
    } else if (!reserved && IsReservationTime(demand.starved_since, now)) {
      reserved = true;
      Reserve(demand, cap, demands, free);
    }
  }
  const size_t idle_shares = idle.size() <= kMaxIdleShares ? idle.size() : 0;
  for (const auto amount : kAmounts) {
    if (cap.*amount == 0) {
      for (const std::string* name : recent) {
        targets[*name].*amount = kUnlimitedAmount;
      }
      continue;
    }
    std::vector<int64_t> wanted;
    std::vector<int64_t> shares;
    for (const Demand& demand : demands) {
      const int64_t need =
          demand.load.occupied.*amount + demand.load.waiting.*amount;
      shares.push_back(demand.target.*amount);
      wanted.push_back(std::max<int64_t>(0, need - shares.back()));
    }
    const int64_t rest =
        ShareEqually(std::max<int64_t>(0, free.*amount), wanted, shares);
    // Half of the headroom goes to scopes without recent work, if a share is of
    // use there.
    const int64_t for_idle =
        recent.empty() ? rest : (idle_shares > 0 ? rest / 2 : 0);
    for (size_t i = 0; i < demands.size(); ++i) {
      targets[*demands[i].scope].*amount =
          shares[i] + (rest - for_idle) / static_cast<int64_t>(demands.size());
    }
    const size_t idle_count =
        recent.empty() ? std::min(idle.size(), kMaxIdleShares) : idle_shares;
    for (size_t i = 0; i < idle_count; ++i) {
      targets[*idle[i]].*amount = for_idle / static_cast<int64_t>(idle_count);
    }
  }
  for (const std::string* name : idle) {
    const auto target = targets.find(*name);
    for (const auto amount : kAmounts) {
      if (target != targets.end() && cap.*amount == 0) {
        target->second.*amount = kUnlimitedAmount;
      }
    }
  }
  return targets;
}

void CustomerGrants::GrantCustomer(
    const std::string& customer,
    const Resources& cap,
    MonoTime now,
    std::map<std::string, CustomerGrantOrders>* orders) const {
  const std::map<std::string, Resources> targets = Targets(customer, cap, now);
  std::map<std::string, Resources> bounds;
  Resources free = cap;
  for (const auto& [name, scope] : scopes_) {
    const Resources bound = BoundOf(scope, customer);
    free -= bound;
    bounds[name] = bound;
  }
  for (auto& [name, order] : *orders) {
    const auto target = targets.find(name);
    if (target == targets.end() || order.owner_fence == 0) {
      continue;
    }
    Resources granted = target->second;
    for (const auto amount : kAmounts) {
      if (cap.*amount == 0) {
        continue;
      }
      // What the other scopes' bounds leave. Below this scope's own bound if
      // the cap was lowered and not all grants are known to be lower yet.
      const int64_t bound = bounds[name].*amount;
      granted.*amount =
          std::clamp<int64_t>(bound + free.*amount, 0, granted.*amount);
      free.*amount -= std::max<int64_t>(0, granted.*amount - bound);
    }
    if (!(granted == Resources())) {
      order.granted[customer] = {granted, cap};
    }
  }
}

std::map<std::string, CustomerGrantOrders> CustomerGrants::Prepare(
    const std::set<std::string>& names,
    bool may_grant,
    MonoTime now) {
  std::map<std::string, CustomerGrantOrders> orders;
  if (caps_.empty()) {
    return orders;
  }
  ForgetScopes(now);
  // Scopes of pools that are added later have run nothing before.
  complete_ = complete_ || (!scopes_.empty() && IsComplete());
  const bool due = now >= next_grants_at_;
  if (due) {
    next_grants_at_ =
        now + std::min<MonoTime::duration>(
                  kGrantIntervalPerPair * caps_.size() * scopes_.size(),
                  kMaxGrantInterval);
  }
  for (const std::string& name : names) {
    CustomerGrantOrders& order = orders[name];
    order.present = true;
    order.sequence = {controller_fence_, next_number_++};
    order.plan_version = plan_version_;
    const auto scope = scopes_.find(name);
    if (due && complete_ && may_grant && !superseded_ &&
        scope != scopes_.end() && scope->second.known &&
        now - scope->second.received_at <= kGrantDuration - kMinGrantLeft) {
      order.owner_fence = scope->second.report.owner_fence;
      order.report_made_at = scope->second.report.made_at;
      order.duration = kGrantDuration;
    }
  }
  for (const auto& [customer, cap] : caps_) {
    if (due && IsLimitedEverywhere(cap)) {
      GrantCustomer(customer, cap.amount, now, &orders);
    }
  }
  for (const auto& [name, order] : orders) {
    if (order.owner_fence != 0) {
      Scope& scope = scopes_[name];
      Amounts amounts;
      for (const auto& [customer, grant] : order.granted) {
        amounts[customer] = grant.amount;
      }
      scope.grants.push_back({order.sequence,
                              scope.received_at + Stretched(kGrantDuration),
                              std::move(amounts)});
    }
  }
  return orders;
}

std::vector<CustomerGrants::CustomerState> CustomerGrants::States() const {
  std::vector<CustomerState> states;
  for (const auto& [customer, cap] : caps_) {
    CustomerState state;
    state.customer = customer;
    state.weight = cap.weight;
    state.cap = cap.amount;
    for (const auto& [name, scope] : scopes_) {
      const CustomerLoad load = LoadOf(scope, customer);
      state.occupied += load.occupied;
      state.waiting += load.waiting;
      state.granted += BoundOf(scope, customer);
      state.tasks_over_grant += load.tasks_over_grant;
    }
    for (const auto amount : kAmounts) {
      if (cap.amount.*amount == 0) {
        state.granted.*amount = 0;
      }
    }
    states.push_back(std::move(state));
  }
  return states;
}

}  // namespace figflow
