#include "Peer/relay_table.h"

#include "absl/time/time.h"

namespace figflow {
namespace {

constexpr char kStep[] = "peer.relay";
// Incarnations are start times in milliseconds. Each is followed by 2^20 ids,
// more relays than a daemon starts in one millisecond, so the ids of two
// incarnations do not overlap.
constexpr unsigned kIncarnationShift = 20;

}  // namespace

RelayTable::RelayTable(uint64_t incarnation, size_t max_in_flight_per_peer)
    : id_base_(incarnation << kIncarnationShift),
      max_in_flight_per_peer_(max_in_flight_per_peer),
      last_id_(id_base_) {}

Result<uint64_t> RelayTable::Add(const RelayRoute& route,
                                 MonoTime deadline,
                                 RelayCallback* done) {
  absl::MutexLock lock(&mutex_);
  size_t& in_flight = in_flight_[route.entry];
  if (in_flight >= max_in_flight_per_peer_) {
    return figflow::Fail(ErrorCode::kResourceExhausted, kStep,
                         route.entry.value(), "too many relays in flight");
  }
  ++in_flight;
  const uint64_t id = ++last_id_;
  pending_.emplace(id, Pending{route, deadline, false, std::move(*done)});
  deadlines_.emplace(deadline, id);
  return id;
}

RelayTable::Pending RelayTable::RemovePending(Map::iterator it) {
  Pending pending = std::move(it->second);
  deadlines_.erase({pending.deadline, it->first});
  pending_.erase(it);
  const auto count = in_flight_.find(pending.route.entry);
  if (--count->second == 0) {
    in_flight_.erase(count);
  }
  return pending;
}

void RelayTable::CompleteWithError(const Pending& pending,
                                   const std::string& reason) {
  pending.done(figflow::Fail(
      pending.sent ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable,
      kStep, pending.route.entry.value(), reason));
}

bool RelayTable::MarkSent(uint64_t id) {
  absl::MutexLock lock(&mutex_);
  const auto it = pending_.find(id);
  if (it == pending_.end()) {
    return false;
  }
  it->second.sent = true;
  return true;
}

void RelayTable::OnNotSent(uint64_t id, const std::string& reason) {
  Pending pending;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
      return;
    }
    pending = RemovePending(it);
  }
  pending.sent = false;
  CompleteWithError(pending, reason);
}

ResponseOutcome RelayTable::OnResponse(const EntryId& from,
                                       RelayResponseMessage message) {
  Pending pending;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = pending_.find(message.id);
    if (it == pending_.end()) {
      return message.id > id_base_ && message.id <= last_id_
                 ? ResponseOutcome::kLate
                 : ResponseOutcome::kUnmatched;
    }
    if (it->second.route.entry != from ||
        it->second.route.incarnation != message.incarnation) {
      return ResponseOutcome::kUnmatched;
    }
    pending = RemovePending(it);
  }
  if (message.delivery_error.empty()) {
    pending.done(std::move(message.response));
  } else {
    pending.done(figflow::Fail(ErrorCode::kUnknownOutcome, kStep, from.value(),
                               message.delivery_error));
  }
  return ResponseOutcome::kDelivered;
}

void RelayTable::FailLink(LinkId link, const std::string& reason) {
  std::vector<Pending> failed;
  {
    absl::MutexLock lock(&mutex_);
    for (auto it = pending_.begin(); it != pending_.end();) {
      const auto current = it++;
      if (current->second.route.link == link) {
        failed.push_back(RemovePending(current));
      }
    }
  }
  for (const Pending& pending : failed) {
    CompleteWithError(pending, reason);
  }
}

void RelayTable::FailAll(const std::string& reason) {
  std::vector<Pending> failed;
  {
    absl::MutexLock lock(&mutex_);
    while (!pending_.empty()) {
      failed.push_back(RemovePending(pending_.begin()));
    }
  }
  for (const Pending& pending : failed) {
    CompleteWithError(pending, reason);
  }
}

std::vector<RelayCancellation> RelayTable::Expire(MonoTime now) {
  std::vector<Pending> expired;
  std::vector<RelayCancellation> to_cancel;
  {
    absl::MutexLock lock(&mutex_);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      const uint64_t id = deadlines_.begin()->second;
      expired.push_back(RemovePending(pending_.find(id)));
      if (expired.back().sent) {
        to_cancel.push_back({expired.back().route.link, id});
      }
    }
  }
  for (const Pending& pending : expired) {
    CompleteWithError(pending, "no response within the time limit");
  }
  return to_cancel;
}

std::optional<RelayCancellation> RelayTable::Cancel(uint64_t id) {
  Pending pending;
  {
    absl::MutexLock lock(&mutex_);
    const auto it = pending_.find(id);
    if (it == pending_.end()) {
      return std::nullopt;
    }
    if (it->second.sent) {
      return RelayCancellation{it->second.route.link, id};
    }
    pending = RemovePending(it);
  }
  CompleteWithError(pending, "cancelled before it was sent");
  return std::nullopt;
}

std::optional<MonoTime> RelayTable::NextDeadline() const {
  absl::MutexLock lock(&mutex_);
  if (deadlines_.empty()) {
    return std::nullopt;
  }
  return deadlines_.begin()->first;
}

bool RelayTable::WaitUntilEmpty(MonoTime deadline, MonoTime now) const {
  absl::MutexLock lock(&mutex_);
  const auto is_empty = [this] {
    mutex_.AssertHeld();
    return pending_.empty();
  };
  return mutex_.AwaitWithTimeout(absl::Condition(&is_empty),
                                 absl::FromChrono(deadline - now));
}

bool RelayTable::UsesLink(LinkId link) const {
  absl::MutexLock lock(&mutex_);
  for (const auto& [id, pending] : pending_) {
    if (pending.route.link == link) {
      return true;
    }
  }
  return false;
}

}  // namespace figflow
