#include "Scheduling/customer_limits.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace figflow {
namespace {

using std::chrono::milliseconds;

int64_t UnitsThatFit(int64_t free, int64_t size, int64_t count) {
  return size <= 0 ? count : std::clamp<int64_t>(free / size, 0, count);
}

Resources Multiple(const Resources& size, int64_t count) {
  return {size.cpu_millicores * count, size.memory_mb * count,
          size.accelerators * count};
}

// Returns whether a sum within the cap `granted` is within `cap`, in each
// resource that `cap` limits.
bool IsWithinCap(const Resources& granted, const Resources& cap) {
  const auto within = [](int64_t amount, int64_t limit) {
    return limit == 0 || (amount != 0 && amount <= limit);
  };
  return within(granted.cpu_millicores, cap.cpu_millicores) &&
         within(granted.memory_mb, cap.memory_mb) &&
         within(granted.accelerators, cap.accelerators);
}

}  // namespace

CustomerLimits::CustomerLimits(uint64_t owner_fence)
    : owner_fence_(owner_fence) {}

void CustomerLimits::SetPlan(const FleetPlan& plan) {
  limited_.clear();
  plan_version_ = plan.version;
  for (const CustomerConfig& customer : plan.customers) {
    if (!(customer.cap == Resources())) {
      limited_[customer.name] = customer.cap;
    }
  }
}

void CustomerLimits::OnOrders(const CustomerGrantOrders& orders, MonoTime now) {
  if (!orders.present || orders.sequence.controller_fence < controller_fence_) {
    return;
  }
  has_orders_ = true;
  // From now on no order of an earlier controller takes effect, so a later one
  // knows from the next report all that this scope may start.
  controller_fence_ = orders.sequence.controller_fence;
  // The clock is read in whole milliseconds: rounding down ends a grant early.
  const MonoTime made_at = MonoTime(orders.report_made_at);
  if (orders.owner_fence != owner_fence_ || !(held_ < orders.sequence) ||
      made_at > now) {
    return;
  }
  held_ = orders.sequence;
  held_plan_ = orders.plan_version;
  // Counted from the report, not from the arrival, so that an order that
  // arrives late does not last longer than the controller expects.
  expires_at_ = made_at + orders.duration;
  granted_ = orders.granted;
}

const CustomerGrant* CustomerLimits::UsableGrant(const std::string& customer,
                                                 MonoTime now) const {
  const auto granted = granted_.find(customer);
  if (now >= expires_at_ || granted == granted_.end()) {
    return nullptr;
  }
  // By an earlier plan with a higher cap, the sum of the grants of all scopes
  // may be above the cap in force.
  const auto limited = limited_.find(customer);
  const bool usable = held_plan_ >= plan_version_ ||
                      limited == limited_.end() ||
                      IsWithinCap(granted->second.cap, limited->second);
  return usable ? &granted->second : nullptr;
}

Resources CustomerLimits::GrantOf(const std::string& customer,
                                  MonoTime now) const {
  const CustomerGrant* grant = UsableGrant(customer, now);
  return grant == nullptr ? Resources() : grant->amount;
}

int CustomerLimits::CountFitting(const std::string& customer,
                                 const Resources& occupied,
                                 const Resources& size,
                                 int count,
                                 MonoTime now) const {
  const auto limited = limited_.find(customer);
  if (limited == limited_.end()) {
    return count;
  }
  const CustomerGrant* grant = UsableGrant(customer, now);
  if (grant == nullptr) {
    return 0;
  }
  const Resources& cap = limited->second;
  Resources free = grant->amount;
  free -= occupied;
  int64_t fitting = count;
  // An amount of 0 in the cap is no limit.
  if (cap.cpu_millicores > 0) {
    fitting = UnitsThatFit(free.cpu_millicores, size.cpu_millicores, fitting);
  }
  if (cap.memory_mb > 0) {
    fitting = UnitsThatFit(free.memory_mb, size.memory_mb, fitting);
  }
  if (cap.accelerators > 0) {
    fitting = UnitsThatFit(free.accelerators, size.accelerators, fitting);
  }
  return static_cast<int>(fitting);
}

bool CustomerLimits::IsWithinGrant(const std::string& customer,
                                   const Resources& occupied,
                                   MonoTime now) const {
  const auto limited = limited_.find(customer);
  if (limited == limited_.end()) {
    return true;
  }
  const Resources& cap = limited->second;
  const Resources granted = GrantOf(customer, now);
  const auto within = [](int64_t amount, int64_t grant, int64_t limit) {
    return limit == 0 || amount <= grant;
  };
  return within(occupied.cpu_millicores, granted.cpu_millicores,
                cap.cpu_millicores) &&
         within(occupied.memory_mb, granted.memory_mb, cap.memory_mb) &&
         within(occupied.accelerators, granted.accelerators, cap.accelerators);
}

int CustomerLimits::CountWaiting(const std::string& customer,
                                 const Resources& occupied,
                                 const Resources& size,
                                 int count,
                                 bool as_a_whole,
                                 MonoTime now) {
  const auto limited = limited_.find(customer);
  if (limited == limited_.end() || count <= 0) {
    return count;
  }
  Waiting& waiting = waiting_[customer];
  Resources before = occupied;
  before += waiting.fitting;
  const Resources unit = as_a_whole ? Multiple(size, count) : size;
  const int units =
      CountFitting(customer, before, unit, as_a_whole ? 1 : count, now);
  const int fitting = as_a_whole ? units * count : units;
  waiting.request += Multiple(size, count);
  waiting.fitting += Multiple(size, fitting);
  waiting.tasks_over_grant += count - fitting;
  // A unit above the cap never starts, so no room is made for it.
  const double share = DominantShare(unit, limited->second);
  if (share <= 1 &&
      share >= DominantShare(waiting.largest_unit, limited->second)) {
    waiting.largest_unit = unit;
  }
  return fitting;
}

CustomerLoadReport CustomerLimits::Report(const CustomerUsage& usage,
                                          MonoTime now) const {
  CustomerLoadReport report;
  report.present = has_orders_;
  if (!has_orders_) {
    return report;
  }
  report.owner_fence = owner_fence_;
  report.made_at = std::chrono::floor<milliseconds>(now.time_since_epoch());
  report.controller_fence = controller_fence_;
  report.held = held_;
  report.plan_version = plan_version_;
  const bool unexpired = now < expires_at_;
  report.held_for = unexpired
                        ? std::chrono::ceil<milliseconds>(expires_at_ - now)
                        : milliseconds(0);
  // A customer whose cap the owner's plan no longer has, or not yet, may hold a
  // grant.
  std::set<std::string> names;
  for (const auto& [customer, cap] : limited_) {
    names.insert(customer);
  }
  for (const auto& [customer, grant] : granted_) {
    names.insert(customer);
  }
  for (const std::string& customer : names) {
    CustomerLoad load;
    load.customer = customer;
    load.occupied = usage.Of(customer);
    // Also a grant that this plan does not allow to use: the next one may.
    const auto granted = granted_.find(customer);
    if (unexpired && granted != granted_.end()) {
      load.granted = granted->second.amount;
    }
    const auto waiting = waiting_.find(customer);
    if (waiting != waiting_.end()) {
      load.waiting = waiting->second.request;
      load.largest_unit = waiting->second.largest_unit;
      load.tasks_over_grant = waiting->second.tasks_over_grant;
    }
    if (!(load.occupied == Resources() && load.waiting == Resources() &&
          load.granted == Resources())) {
      report.customers.push_back(std::move(load));
    }
  }
  return report;
}

}  // namespace figflow
