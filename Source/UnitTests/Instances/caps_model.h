#ifndef INSTANCES_CAPS_MODEL_H_
#define INSTANCES_CAPS_MODEL_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Instances/customer_grants.h"
#include "Scheduling/customer_limits.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {

// A seeded model of the owners of scopes and the instance controller, in
// virtual time with steps of 10 ms. Each daemon has a clock of its own rate;
// messages are lost, late and out of sequence; owners and controllers change
// and learn of plans at different times.
class CapsModel {
 public:
  struct Faults {
    double loss = 0;
    double late = 0;
    bool owner_changes = false;
    bool controller_changes = false;
    bool plan_changes = false;
  };

  CapsModel(uint64_t seed, int scopes, const Faults& faults)
      : random_(seed), faults_(faults) {
    for (int i = 0; i < scopes; ++i) {
      Scope& scope = scopes_[absl::StrCat("p", i)];
      scope.clock = NewClock();
    }
  }

  // Adds a plan, which each daemon learns within 3 s.
  void SetPlan(const std::map<std::string, Resources>& caps) {
    auto plan = std::make_shared<FleetPlan>();
    plan->version = plans_.size() + 1;
    for (const auto& [name, cap] : caps) {
      CustomerConfig customer;
      customer.name = name;
      customer.cap = cap;
      plan->customers.push_back(customer);
    }
    plans_.push_back(plan);
    const bool first = plans_.size() == 1;
    for (auto& [name, scope] : scopes_) {
      scope.plan_at = now_ms_ + (first ? 0 : Random(0, 3'000));
    }
    controller_plan_at_ = now_ms_ + (first ? 0 : Random(0, 3'000));
  }

  void Submit(const std::string& scope,
              const std::string& customer,
              const Resources& size,
              int count,
              int duration_ms) {
    Queue& queue = scopes_[scope].queues[customer];
    if (queue.waiting.empty()) {
      queue.waits_since = now_ms_;
    }
    for (int i = 0; i < count; ++i) {
      queue.waiting.push_back({size, duration_ms});
    }
  }
  void CancelWaiting(const std::string& scope, const std::string& customer) {
    scopes_[scope].queues[customer].waiting.clear();
  }

  void Run(int duration_ms, const std::function<void()>& each_step = {}) {
    for (const int end = now_ms_ + duration_ms; now_ms_ < end; now_ms_ += 10) {
      if (each_step) {
        each_step();
      }
      StepFaults();
      DeliverMessages();
      for (auto& [name, scope] : scopes_) {
        StepOwner(name, scope);
      }
      StepController();
    }
  }

  Resources Occupied(const std::string& customer) const {
    Resources sum;
    for (const auto& [name, scope] : scopes_) {
      sum += scope.usage.Of(customer);
    }
    return sum;
  }
  Resources OccupiedIn(const std::string& scope,
                       const std::string& customer) const {
    return scopes_.at(scope).usage.Of(customer);
  }
  size_t CountWaiting(const std::string& scope, const std::string& customer) {
    return scopes_[scope].queues[customer].waiting.size();
  }
  void EndOwner(const std::string& scope, int until_next_ms) {
    scopes_[scope].owner.reset();
    scopes_[scope].next_owner_at = now_ms_ + until_next_ms;
  }
  // Lets the controller grant until its lease ends; the next one begins later.
  void EndController(bool runs_on, int until_next_ms) {
    former_ = runs_on ? controller_ : nullptr;
    controller_.reset();
    next_controller_at_ = now_ms_ + until_next_ms;
  }
  const CustomerGrants* controller() const { return controller_.get(); }
  int Random(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(random_);
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  // The first start above the cap; empty if there is none.
  std::string violation;
  // Longest time for which a queue waited and started nothing while its
  // customer used under half of its cap.
  int longest_wait_ms = 0;
  int starts = 0;

 private:
  struct Clock {
    double rate = 1;
    int64_t offset_ms = 0;
  };
  struct WaitingTask {
    Resources size;
    int duration_ms = 0;
  };
  struct Queue {
    std::vector<WaitingTask> waiting;
    int waits_since = 0;
  };
  struct Scope {
    std::shared_ptr<CustomerLimits> owner;
    uint64_t fence = 0;
    Clock clock;
    int next_owner_at = 0;
    uint64_t plan = 0;
    int plan_at = 0;
    // The records: each owner knows all runs of earlier ones.
    CustomerUsage usage;
    std::multimap<int, std::pair<std::string, Resources>> ends;
    std::map<std::string, Queue> queues;
    int next_sync_at = 0;
  };

  Clock NewClock() {
    // Two clocks differ by up to 2%.
    return {0.99 + 0.0001 * Random(0, 200), Random(1'000, 900'000'000)};
  }
  MonoTime Read(const Clock& clock) const {
    return MonoTime(std::chrono::microseconds(
        clock.offset_ms * 1'000 +
        static_cast<int64_t>(now_ms_ * 1'000 * clock.rate)));
  }

  void StepFaults() {
    for (auto& [name, scope] : scopes_) {
      if (faults_.owner_changes && scope.owner && Chance(0.0005)) {
        EndOwner(name, Random(0, 3'000));
      }
    }
    if (faults_.owner_changes && Chance(0.0002)) {
      for (auto& [name, scope] : scopes_) {
        EndOwner(name, Random(0, 3'000));
      }
    }
    if (faults_.controller_changes && controller_ && Chance(0.0005)) {
      EndController(Chance(0.5), Random(0, 3'000));
    }
    if (faults_.plan_changes && Chance(0.001)) {
      std::map<std::string, Resources> caps;
      for (const char* customer : {"a", "b"}) {
        // A customer may also be removed, and limited in one resource only.
        if (!Chance(0.15)) {
          caps[customer] = {int64_t{1'000} * Random(2, 20),
                            Chance(0.3) ? 0 : int64_t{1'000} * Random(2, 20),
                            0};
        }
      }
      SetPlan(caps);
    }
  }

  void DeliverMessages() {
    while (!messages_.empty() && messages_.begin()->first <= now_ms_) {
      const std::function<void()> deliver = messages_.begin()->second;
      messages_.erase(messages_.begin());
      deliver();
    }
  }
  void Send(std::function<void()> deliver) {
    if (Chance(faults_.loss)) {
      return;
    }
    const int delay = Chance(faults_.late) ? Random(50, 9'000) : Random(0, 20);
    messages_.emplace(now_ms_ + delay, std::move(deliver));
  }

  void StepOwner(const std::string& name, Scope& scope) {
    while (!scope.ends.empty() && scope.ends.begin()->first <= now_ms_) {
      const auto& [customer, size] = scope.ends.begin()->second;
      scope.usage.Remove(customer, size);
      scope.ends.erase(scope.ends.begin());
    }
    if (!scope.owner) {
      if (now_ms_ < scope.next_owner_at) {
        return;
      }
      scope.owner = std::make_shared<CustomerLimits>(++scope.fence);
      scope.clock = NewClock();
      if (scope.plan > 0) {
        scope.owner->SetPlan(*plans_[scope.plan - 1]);
      }
    }
    if (now_ms_ >= scope.plan_at && scope.plan < plans_.size()) {
      scope.plan = plans_.size();
      scope.owner->SetPlan(*plans_.back());
    }
    for (auto& [customer, queue] : scope.queues) {
      std::vector<WaitingTask> left;
      for (const WaitingTask& task : queue.waiting) {
        if (scope.owner->CountFitting(customer, scope.usage.Of(customer),
                                      task.size, 1, Read(scope.clock)) == 0) {
          left.push_back(task);
          continue;
        }
        scope.usage.Add(customer, task.size);
        scope.ends.emplace(now_ms_ + task.duration_ms,
                           std::make_pair(customer, task.size));
        queue.waits_since = now_ms_;
        ++starts;
        CheckStart(name, customer);
      }
      queue.waiting = std::move(left);
      CheckWait(customer, queue);
    }
  }

  Resources CapOf(uint64_t version, const std::string& customer) const {
    const CustomerConfig* config = plans_[version - 1]->FindCustomer(customer);
    return config == nullptr ? Resources() : config->cap;
  }
  void CheckStart(const std::string& scope, const std::string& customer) {
    // Plans of which no owner has seen a later one may be in force.
    uint64_t oldest = plans_.size();
    for (const auto& [name, other] : scopes_) {
      oldest = std::min(oldest, std::max<uint64_t>(1, other.plan));
    }
    const Resources sum = Occupied(customer);
    bool fits_cpu = false;
    bool fits_memory = false;
    for (uint64_t v = oldest; v <= plans_.size(); ++v) {
      const Resources cap = CapOf(v, customer);
      fits_cpu = fits_cpu || cap.cpu_millicores == 0 ||
                 sum.cpu_millicores <= cap.cpu_millicores;
      fits_memory =
          fits_memory || cap.memory_mb == 0 || sum.memory_mb <= cap.memory_mb;
    }
    if (violation.empty() && !(fits_cpu && fits_memory)) {
      violation = absl::StrCat("at ", now_ms_, " ms ", customer, " in ", scope,
                               " has ", sum.cpu_millicores, " millicores and ",
                               sum.memory_mb, " MB, plan ", plans_.size());
      for (uint64_t v = 1; v <= plans_.size(); ++v) {
        const Resources cap = CapOf(v, customer);
        absl::StrAppend(&violation, "; plan ", v, ": ", cap.cpu_millicores,
                        ", ", cap.memory_mb);
      }
    }
  }
  void CheckWait(const std::string& customer, Queue& queue) {
    const Resources cap = CapOf(plans_.size(), customer);
    const Resources used = Occupied(customer);
    if (queue.waiting.empty() ||
        2 * used.cpu_millicores >= cap.cpu_millicores ||
        2 * used.memory_mb >= cap.memory_mb) {
      queue.waits_since = now_ms_;
    }
    longest_wait_ms = std::max(longest_wait_ms, now_ms_ - queue.waits_since);
  }

  void StepController() {
    if (!controller_ && now_ms_ >= next_controller_at_) {
      controller_ = std::make_shared<CustomerGrants>(++controller_fence_);
      controller_clock_ = NewClock();
      controller_plan_ = 0;
    }
    if (controller_) {
      if (now_ms_ >= controller_plan_at_ || controller_plan_ == 0) {
        const uint64_t version = now_ms_ >= controller_plan_at_
                                     ? plans_.size()
                                     : std::max<size_t>(1, plans_.size() - 1);
        if (version != controller_plan_) {
          controller_plan_ = version;
          std::set<std::string> names;
          for (const auto& [name, scope] : scopes_) {
            names.insert(name);
          }
          controller_->SetPlan(*plans_[version - 1], names,
                               Read(controller_clock_));
        }
      }
      Sync(controller_, true);
    }
    if (former_ && !controller_) {
      // Its lease has ended, but it does not know of a next controller.
      Sync(former_, false);
    }
  }
  void Sync(const std::shared_ptr<CustomerGrants>& controller, bool may_grant) {
    std::set<std::string> due;
    for (auto& [name, scope] : scopes_) {
      if (now_ms_ >= scope.next_sync_at) {
        scope.next_sync_at = now_ms_ + 250;
        due.insert(name);
      }
    }
    const Clock clock = controller_clock_;
    const MonoTime sent_at = Read(clock);
    for (const auto& [name, orders] :
         controller->Prepare(due, may_grant, sent_at)) {
      Send([this, controller, clock, sent_at, name = name, orders = orders] {
        OnOrders(controller, clock, sent_at, name, orders);
      });
    }
  }
  void OnOrders(const std::shared_ptr<CustomerGrants>& controller,
                const Clock& clock,
                MonoTime sent_at,
                const std::string& name,
                const CustomerGrantOrders& orders) {
    Scope& scope = scopes_[name];
    if (!scope.owner) {
      return;
    }
    const MonoTime now = Read(scope.clock);
    scope.owner->OnOrders(orders, now);
    scope.owner->BeginReport();
    for (const auto& [customer, queue] : scope.queues) {
      for (const WaitingTask& task : queue.waiting) {
        scope.owner->CountWaiting(customer, scope.usage.Of(customer), task.size,
                                  1, false, now);
      }
    }
    const CustomerLoadReport report = scope.owner->Report(scope.usage, now);
    Send([this, controller, sent_at, name, report, clock] {
      controller->OnReport(name, report, sent_at, Read(clock));
    });
  }

  std::mt19937_64 random_;
  const Faults faults_;
  int now_ms_ = 0;
  std::vector<std::shared_ptr<FleetPlan>> plans_;
  std::map<std::string, Scope> scopes_;
  std::shared_ptr<CustomerGrants> controller_;
  std::shared_ptr<CustomerGrants> former_;
  Clock controller_clock_;
  uint64_t controller_fence_ = 0;
  int next_controller_at_ = 0;
  uint64_t controller_plan_ = 0;
  int controller_plan_at_ = 0;
  std::multimap<int, std::function<void()>> messages_;
};

}  // namespace figflow::test

#endif  // INSTANCES_CAPS_MODEL_H_
