#include "Routing/pool_shard.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// While short requests are queued, long requests are granted slots only up to
// their capacity divided by this number. The limit is at least one slot, so
// that a lasting overload of short requests does not block long ones.
constexpr int kLongFloorDivisor = 8;

constexpr std::array<SizeClass, kSizeClasses> kClasses = {SizeClass::kShort,
                                                          SizeClass::kLong};

absl::string_view ClassName(SizeClass size_class) {
  return size_class == SizeClass::kShort ? "short" : "long";
}

int LongFloor(int capacity) {
  return capacity == 0 ? 0 : std::max(1, capacity / kLongFloorDivisor);
}

}  // namespace

RoutingMetrics::RoutingMetrics(MetricsRegistry& registry) {
  for (size_t i = 0; i < kRefusals; ++i) {
    refusals[i] = &registry.GetCounter(
        absl::StrCat("figflow_routing_refusals_total{reason=\"",
                     RefusalName(static_cast<Refusal>(i)), "\"}"));
  }
  for (const SizeClass size_class : kClasses) {
    const absl::string_view name = ClassName(size_class);
    grants[Index(size_class)] = &registry.GetCounter(
        absl::StrCat("figflow_routing_grants_total{class=\"", name, "\"}"));
    // The metrics exposition appends its own labels to a histogram's name, so
    // the class is part of the name here.
    waits[Index(size_class)] =
        &registry.GetHistogram(absl::StrCat("figflow_routing_wait_", name));
  }
  unknown_finishes =
      &registry.GetCounter("figflow_routing_unknown_finishes_total");
  promotions = &registry.GetCounter("figflow_routing_promotions_total");
}

PoolShard::PoolShard(PoolId pool,
                     const RoutingOptions& options,
                     RoutingMetrics metrics)
    : pool_(std::move(pool)),
      metrics_(metrics),
      classifier_(options.size_class),
      queues_{EdfQueue(options.queue_capacity[0]),
              EdfQueue(options.queue_capacity[1])} {
  for (const auto& [operation, time] : options.declared_times) {
    classifier_.DeclareServiceTime(operation, time, MonoTime());
  }
}

void PoolShard::Update(const PoolTable& table,
                       const LeavingTargetSet& marks,
                       MonoTime now,
                       Outcomes& outcomes) {
  listed_ = true;
  slot_allocator_.Update(table, marks);
  Tick(now, outcomes);
}

void PoolShard::Remove(MonoTime now, Outcomes& outcomes) {
  listed_ = false;
  slot_allocator_.Update(PoolTable(), LeavingTargetSet());
  for (const SizeClass size_class : kClasses) {
    RefuseQueued(size_class, Refusal::kUnknownPool, outcomes);
  }
  Tick(now, outcomes);
}

void PoolShard::Submit(const WorkItem& item,
                       MonoTime now,
                       PermitCallback done,
                       Outcomes& outcomes) {
  latest_now_ = std::max(latest_now_, now);
  const SizeClass size_class = classifier_.Classify(item.operation);
  EdfQueue& queue = QueueOf(size_class);
  if (queue.full()) {
    RefuseExpired(now, outcomes);
  }
  if (const auto refusal = CheckAdmission(item, size_class, now)) {
    Refuse(std::move(done), *refusal, outcomes);
    return;
  }
  queue.Push(QueuedWork{item, now, std::move(done)});
  ServeQueues(now, outcomes);
}

std::optional<Refusal> PoolShard::CheckAdmission(const WorkItem& item,
                                                 SizeClass size_class,
                                                 MonoTime now) const {
  if (stopping_) {
    return Refusal::kStopping;
  }
  if (!listed_) {
    return Refusal::kUnknownPool;
  }
  if (item.deadline <= now) {
    return Refusal::kDeadlinePassed;
  }
  // Cancel and Finish identify an item by its id, so an id that is still
  // in use is refused.
  if (grants_.count(item.id) != 0 || queues_[0].Contains(item.id) ||
      queues_[1].Contains(item.id)) {
    return Refusal::kCancelled;
  }
  if (!slot_allocator_.AcceptsQueuedWork(size_class, now)) {
    return Refusal::kNoTarget;
  }
  const EdfQueue& queue = queues_[Index(size_class)];
  if (queue.empty() &&
      slot_allocator_.ChooseTarget(size_class, now) != nullptr) {
    return std::nullopt;
  }
  if (queue.full()) {
    return Refusal::kQueueFull;
  }
  const std::chrono::nanoseconds wait = predictors_[Index(size_class)].Predict(
      queue.CountAhead(item.deadline), SlotsFor(size_class, now));
  if (wait + classifier_.TypicalServiceTime(item.operation) >
      item.deadline - now) {
    return Refusal::kWouldMissDeadline;
  }
  return std::nullopt;
}

int PoolShard::SlotsFor(SizeClass size_class, MonoTime now) const {
  const int usable = slot_allocator_.UsableSlots(now);
  if (size_class == SizeClass::kShort) {
    return usable - slot_allocator_.InFlight(SizeClass::kLong);
  }
  const int capacity = slot_allocator_.LongCapacity(now);
  return queues_[Index(SizeClass::kShort)].empty() ? capacity
                                                   : LongFloor(capacity);
}

std::optional<SizeClass> PoolShard::NextClass(MonoTime now) const {
  const bool short_waits = !queues_[Index(SizeClass::kShort)].empty();
  const bool long_waits = !queues_[Index(SizeClass::kLong)].empty();
  const bool long_can = long_waits && slot_allocator_.ChooseTarget(
                                          SizeClass::kLong, now) != nullptr;
  if (long_can &&
      (!short_waits || slot_allocator_.InFlight(SizeClass::kLong) <
                           LongFloor(slot_allocator_.LongCapacity(now)))) {
    return SizeClass::kLong;
  }
  if (short_waits &&
      slot_allocator_.ChooseTarget(SizeClass::kShort, now) != nullptr) {
    return SizeClass::kShort;
  }
  return std::nullopt;
}

void PoolShard::ServeQueues(MonoTime now, Outcomes& outcomes) {
  while (const auto next = NextClass(now)) {
    QueuedWork work = *QueueOf(*next).Pop();
    if (work.item.deadline <= now) {
      Refuse(std::move(work.done), Refusal::kDeadlinePassed, outcomes);
      continue;
    }
    // A request that has waited and has less time left than its operation
    // typically takes would probably time out with an unknown outcome and waste
    // its slot. A request that has not waited is sent regardless; otherwise, a
    // measured time that is too high would never be corrected.
    if (work.queued_at != now &&
        classifier_.TypicalServiceTime(work.item.operation) >
            work.item.deadline - now) {
      Refuse(std::move(work.done), Refusal::kWouldMissDeadline, outcomes);
      continue;
    }
    // The operation may have been classified as long since the item was queued.
    const SizeClass size_class = classifier_.Classify(work.item.operation);
    if (*next == SizeClass::kShort && size_class == SizeClass::kLong) {
      if (QueueOf(SizeClass::kLong).full()) {
        Refuse(std::move(work.done), Refusal::kQueueFull, outcomes);
      } else {
        QueueOf(SizeClass::kLong).Push(std::move(work));
      }
      continue;
    }
    GrantPermit(std::move(work), *next, now, outcomes);
  }
}

void PoolShard::GrantPermit(QueuedWork work,
                            SizeClass size_class,
                            MonoTime now,
                            Outcomes& outcomes) {
  const TargetState& target = *slot_allocator_.ChooseTarget(size_class, now);
  Permit permit{work.item.id, pool_, target.share.id, target.share.address,
                target.health.boot()};
  const bool probe = slot_allocator_.OnGrant(permit.target, size_class);
  retry_budget_.OnGrant(now);
  ++grant_counts_[Index(size_class)];
  metrics_.grants[Index(size_class)]->Add();
  metrics_.waits[Index(size_class)]->Record(now - work.queued_at);
  grants_.emplace(work.item.id, Grant{permit, std::move(work.item.operation),
                                      size_class, now, probe, false});
  outcomes.push_back(Outcome{std::move(work.done), std::move(permit)});
}

void PoolShard::Refuse(PermitCallback done,
                       Refusal refusal,
                       Outcomes& outcomes) {
  ++refusal_counts_[static_cast<size_t>(refusal)];
  metrics_.refusals[static_cast<size_t>(refusal)]->Add();
  outcomes.push_back(Outcome{std::move(done), tl::make_unexpected(refusal)});
}

bool PoolShard::Cancel(uint64_t item, Outcomes& outcomes) {
  for (EdfQueue& queue : queues_) {
    if (auto work = queue.Cancel(item)) {
      Refuse(std::move(work->done), Refusal::kCancelled, outcomes);
      return true;
    }
  }
  return false;
}

bool PoolShard::Finish(const Permit& permit,
                       const AttemptReport& report,
                       MonoTime now,
                       Outcomes& outcomes) {
  latest_now_ = std::max(latest_now_, now);
  const auto it = grants_.find(permit.item);
  if (it == grants_.end() || it->second.permit.target != permit.target) {
    metrics_.unknown_finishes->Add();
    return false;
  }
  const Grant grant = std::move(it->second);
  grants_.erase(it);
  slot_allocator_.OnFinish(grant.permit, grant.size_class, grant.probe, report,
                           now);
  RecordAttempt(grant, report, now);
  RefuseUnservable(now, outcomes);
  ServeQueues(now, outcomes);
  return true;
}

void PoolShard::RecordAttempt(const Grant& grant,
                              const AttemptReport& report,
                              MonoTime now) {
  if (report.end == AttemptOutcome::kRefused) {
    return;
  }
  // Failed and cancelled requests count as well, since they also held a slot.
  predictors_[Index(grant.size_class)].Observe(now - grant.at);
  // A timeout gives a lower bound of the service time; other failures give no
  // information about it.
  if (report.end == AttemptOutcome::kAnswered ||
      report.end == AttemptOutcome::kTimedOut) {
    classifier_.Observe(grant.operation, report.service_time, now);
  }
}

void PoolShard::MarkLeaving(const LeavingTarget& mark,
                            MonoTime now,
                            Outcomes& outcomes) {
  slot_allocator_.MarkLeaving(mark);
  RefuseUnservable(now, outcomes);
}

void PoolShard::Tick(MonoTime now, Outcomes& outcomes) {
  latest_now_ = std::max(latest_now_, now);
  RefuseExpired(now, outcomes);
  PromoteOverlong(now);
  RefuseUnservable(now, outcomes);
  ServeQueues(now, outcomes);
}

void PoolShard::Stop(Outcomes& outcomes) {
  stopping_ = true;
  for (const SizeClass size_class : kClasses) {
    RefuseQueued(size_class, Refusal::kStopping, outcomes);
  }
}

void PoolShard::RefuseExpired(MonoTime now, Outcomes& outcomes) {
  for (EdfQueue& queue : queues_) {
    while (auto work = queue.PopExpired(now)) {
      Refuse(std::move(work->done), Refusal::kDeadlinePassed, outcomes);
    }
  }
}

void PoolShard::RefuseQueued(SizeClass size_class,
                             Refusal refusal,
                             Outcomes& outcomes) {
  while (auto work = QueueOf(size_class).Pop()) {
    Refuse(std::move(work->done), refusal, outcomes);
  }
}

// Refuses queued requests as soon as no target accepts them, so that their
// callers can still try a peer before the deadline.
void PoolShard::RefuseUnservable(MonoTime now, Outcomes& outcomes) {
  for (const SizeClass size_class : kClasses) {
    if (!QueueOf(size_class).empty() &&
        !slot_allocator_.AcceptsQueuedWork(size_class, now)) {
      RefuseQueued(size_class, Refusal::kNoTarget, outcomes);
    }
  }
}

// Counts a request that was classified as short as long once it has run for the
// long threshold. Its time so far is recorded for its operation before it ends,
// so that further requests of the operation can be classified as long.
void PoolShard::PromoteOverlong(MonoTime now) {
  for (auto& [item, grant] : grants_) {
    if (grant.overlong || now - grant.at < classifier_.LongThreshold()) {
      continue;
    }
    grant.overlong = true;
    if (grant.size_class == SizeClass::kShort) {
      grant.size_class = SizeClass::kLong;
      slot_allocator_.PromoteToLong(grant.permit.target);
      metrics_.promotions->Add();
      classifier_.Observe(grant.operation, now - grant.at, now);
    }
  }
}

int PoolShard::FreeSlots() const {
  const int queued = static_cast<int>(queues_[0].size() + queues_[1].size());
  return stopping_
             ? 0
             : std::max(0, slot_allocator_.FreeSlots(latest_now_) - queued);
}

nlohmann::json PoolShard::Dump() const {
  nlohmann::json dump = {
      {"listed", listed_},
      {"stopping", stopping_},
      {"free_slots", FreeSlots()},
      {"usable_slots", slot_allocator_.UsableSlots(latest_now_)},
      {"long_capacity", slot_allocator_.LongCapacity(latest_now_)},
      {"retry_tokens", retry_budget_.tokens()},
      {"targets", slot_allocator_.Dump()},
      {"operations", classifier_.Dump()}};
  for (const SizeClass size_class : kClasses) {
    const size_t i = Index(size_class);
    dump[std::string(ClassName(size_class))] = {
        {"queued", queues_[i].size()},
        {"in_flight", slot_allocator_.InFlight(size_class)},
        {"granted", grant_counts_[i]},
        {"mean_ms",
         std::chrono::duration<double, std::milli>(predictors_[i].mean())
             .count()}};
  }
  for (size_t i = 0; i < kRefusals; ++i) {
    dump["refused"][std::string(RefusalName(static_cast<Refusal>(i)))] =
        refusal_counts_[i];
  }
  return dump;
}

}  // namespace figflow
