#include "Http/byte_budget.h"

#include <algorithm>
#include <tuple>

namespace figflow {
namespace {

using std::chrono::milliseconds;

constexpr int kAnyGroup = -1;

}  // namespace

const char* CloseCauseName(CloseCause cause) {
  switch (cause) {
    case CloseCause::kBudget:
      return "budget";
    case CloseCause::kConnections:
      return "connections";
    case CloseCause::kHeader:
      return "header-time";
    case CloseCause::kBody:
      return "body-time";
    case CloseCause::kIdle:
      return "idle";
    case CloseCause::kNone:
      break;
  }
  return "none";
}

int ByteBudget::AddGroup(const Group& group) {
  groups_.push_back(group);
  return static_cast<int>(groups_.size()) - 1;
}

void ByteBudget::SetLimits(int group, const ArrivalLimits& limits) {
  groups_[static_cast<size_t>(group)].limits = limits;
}

ByteBudget::Id ByteBudget::Open(int group, size_t base, MonoTime now) {
  Connection connection;
  connection.group = group;
  connection.base = base;
  connection.phase_since = now;
  connection.progress_at = now;
  reserved_ += base;
  ++groups_[static_cast<size_t>(group)].open;
  connections_.emplace(next_id_, connection);
  return next_id_++;
}

void ByteBudget::Close(Id id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return;
  }
  const Connection& connection = it->second;
  const size_t bytes = connection.base + connection.held;
  reserved_ -= bytes;
  if (connection.closing) {
    closing_bytes_ -= bytes;
  }
  if (connection.paused) {
    --paused_;
  }
  --groups_[static_cast<size_t>(connection.group)].open;
  connections_.erase(it);
}

bool ByteBudget::Enter(Id id, Phase phase, MonoTime now) {
  Connection& connection = connections_.at(id);
  // A response that has begun is sent.
  if (connection.closing) {
    return false;
  }
  connection.phase = phase;
  connection.phase_since = now;
  connection.progress_at = now;
  return true;
}

void ByteBudget::Progress(Id id, MonoTime now) {
  connections_.at(id).progress_at = now;
}

bool ByteBudget::Reserve(Id id, size_t bytes, MonoTime now) {
  Connection& connection = connections_.at(id);
  // Those that wait go first, unless they hold as much.
  const Id first = FirstPaused();
  const bool waits =
      first != 0 && connections_.at(first).held <= connection.held;
  if (connection.closing || (!waits && Kept() + bytes <= capacity_)) {
    Charge(id, bytes);
    return true;
  }
  connection.paused = true;
  connection.paused_at = now;
  connection.wanted = bytes;
  ++paused_;
  return false;
}

void ByteBudget::Charge(Id id, size_t bytes) {
  Connection& connection = connections_.at(id);
  connection.held += bytes;
  reserved_ += bytes;
  if (connection.closing) {
    closing_bytes_ += bytes;
  }
}

void ByteBudget::Release(Id id) {
  Connection& connection = connections_.at(id);
  reserved_ -= connection.held;
  if (connection.closing) {
    closing_bytes_ -= connection.held;
  }
  connection.held = 0;
}

bool ByteBudget::MayClose(const Connection& connection) {
  return !connection.closing && connection.phase != Phase::kHandled &&
         connection.phase != Phase::kResponse;
}

milliseconds ByteBudget::Silence(const Connection& connection, MonoTime now) {
  const MonoTime until = connection.paused ? connection.paused_at : now;
  return WholeMilliseconds(until - connection.progress_at);
}

CloseCause ByteBudget::LateCause(const Connection& connection,
                                 MonoTime now) const {
  const ArrivalLimits& limits =
      groups_[static_cast<size_t>(connection.group)].limits;
  const milliseconds spent = WholeMilliseconds(now - connection.phase_since);
  const auto over = [&](milliseconds limit) {
    return limit.count() > 0 && spent > limit;
  };
  switch (connection.phase) {
    case Phase::kHeader:
      return over(limits.header) ? CloseCause::kHeader : CloseCause::kNone;
    case Phase::kBody:
      return !connection.paused && over(limits.idle) ? CloseCause::kBody
                                                     : CloseCause::kNone;
    case Phase::kIdle:
    case Phase::kResponse:
      return over(limits.idle) ? CloseCause::kIdle : CloseCause::kNone;
    case Phase::kHandled:
      break;
  }
  return CloseCause::kNone;
}

ByteBudget::Id ByteBudget::Worst(int group,
                                 bool silent_only,
                                 Id except,
                                 MonoTime now) const {
  Id worst = 0;
  // Bytes held times silence; then bytes held; then the older one.
  std::tuple<int64_t, size_t> most{-1, 0};
  for (const auto& [id, connection] : connections_) {
    if ((group != kAnyGroup && connection.group != group) || id == except ||
        !MayClose(connection)) {
      continue;
    }
    const milliseconds silence = Silence(connection, now);
    if (silent_only && silence < kSilence) {
      continue;
    }
    const size_t bytes = connection.base + connection.held;
    const std::tuple<int64_t, size_t> score{
        silence >= kSilence ? static_cast<int64_t>(bytes) * silence.count() : 0,
        bytes};
    if (score > most) {
      most = score;
      worst = id;
    }
  }
  return worst;
}

void ByteBudget::MarkClosing(Id id, CloseCause cause, Decisions* decisions) {
  Connection& connection = connections_.at(id);
  connection.closing = true;
  closing_bytes_ += connection.base + connection.held;
  if (connection.paused) {
    connection.paused = false;
    --paused_;
  }
  decisions->close.emplace_back(id, cause);
}

void ByteBudget::Resume(Id id, MonoTime now, Decisions* decisions) {
  Connection& connection = connections_.at(id);
  connection.paused = false;
  --paused_;
  Charge(id, connection.wanted);
  // The pause counts neither as silence nor as time of arrival.
  connection.phase_since += now - connection.paused_at;
  connection.progress_at = now;
  decisions->resume.push_back(id);
}

void ByteBudget::CloseLate(MonoTime now, Decisions* decisions) {
  for (const auto& [id, connection] : connections_) {
    if (connection.closing) {
      continue;
    }
    const CloseCause cause = LateCause(connection, now);
    if (cause != CloseCause::kNone) {
      MarkClosing(id, cause, decisions);
    }
  }
}

void ByteBudget::MakeRoomForConnections(MonoTime now, Decisions* decisions) {
  for (size_t i = 0; i < groups_.size(); ++i) {
    const Group& group = groups_[i];
    if (group.crowded == 0 || group.open < group.crowded) {
      continue;
    }
    size_t closing = 0;
    for (const auto& [id, connection] : connections_) {
      closing +=
          connection.group == static_cast<int>(i) && connection.closing ? 1 : 0;
    }
    for (; group.open - closing >= group.crowded; ++closing) {
      const Id worst = Worst(static_cast<int>(i), true, 0, now);
      if (worst == 0) {
        break;
      }
      MarkClosing(worst, CloseCause::kConnections, decisions);
    }
  }
}

ByteBudget::Id ByteBudget::FirstPaused() const {
  Id first = 0;
  if (paused_ == 0) {
    return first;
  }
  for (const auto& [id, connection] : connections_) {
    if (connection.paused &&
        (first == 0 || std::tie(connection.held, connection.paused_at) <
                           std::tie(connections_.at(first).held,
                                    connections_.at(first).paused_at))) {
      first = id;
    }
  }
  return first;
}

bool ByteBudget::urgent() const {
  return paused_ > 0 ||
         std::any_of(groups_.begin(), groups_.end(), [](const Group& group) {
           return group.crowded > 0 && group.open >= group.crowded;
         });
}

ByteBudget::Decisions ByteBudget::Decide(MonoTime now) {
  Decisions decisions;
  CloseLate(now, &decisions);
  MakeRoomForConnections(now, &decisions);
  while (paused_ > 0) {
    // What holds least goes on first, so that a small request does not wait for
    // large ones.
    const Id first = FirstPaused();
    const Connection& connection = connections_.at(first);
    const milliseconds pause = WholeMilliseconds(now - connection.paused_at);
    while (Kept() + connection.wanted > capacity_) {
      Id worst = Worst(kAnyGroup, pause < kLongestPause, first, now);
      if (worst == 0) {
        if (pause < kGiveUp) {
          return decisions;
        }
        worst = first;
      }
      MarkClosing(worst, CloseCause::kBudget, &decisions);
      if (worst == first) {
        break;
      }
    }
    if (!connection.closing) {
      Resume(first, now, &decisions);
    }
  }
  return decisions;
}

}  // namespace figflow
