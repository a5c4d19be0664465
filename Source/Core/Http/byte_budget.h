#ifndef HTTP_BYTE_BUDGET_H_
#define HTTP_BYTE_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Common/clock.h"

namespace figflow {

// Time limits of one address. Zero is no limit.
struct ArrivalLimits {
  // From a request line until the header is whole.
  std::chrono::milliseconds header{0};
  // From the header until the body is whole, not counting paused reading; for
  // a connection, until its first or next request line; for a response, until
  // it has been sent.
  std::chrono::milliseconds idle{0};
};

enum class CloseCause { kNone, kBudget, kConnections, kHeader, kBody, kIdle };
const char* CloseCauseName(CloseCause cause);

// Decides which connections may buffer more, pause, or are closed. Load that
// it answers: many connections that each send little enough to be legal and
// never end their request. Holds no thread, socket or clock.
class ByteBudget {
 public:
  using Id = uint64_t;

  enum class Phase { kIdle, kHeader, kBody, kHandled, kResponse };

  struct Group {
    ArrivalLimits limits;
    // From so many connections on, silent ones are closed for new ones. 0: no
    // such number.
    size_t crowded = 0;
    size_t open = 0;
  };

  struct Decisions {
    std::vector<Id> resume;
    std::vector<std::pair<Id, CloseCause>> close;
  };

  explicit ByteBudget(size_t capacity) : capacity_(capacity) {}

  int AddGroup(const Group& group);
  void SetLimits(int group, const ArrivalLimits& limits);

  // `base` is what the connection costs as long as it is open.
  Id Open(int group, size_t base, MonoTime now);
  void Close(Id id);

  // Sets what the connection does now. Returns false if it is to be closed:
  // its request must not be handled.
  bool Enter(Id id, Phase phase, MonoTime now);
  // Some of a body has arrived.
  void Progress(Id id, MonoTime now);
  // Asks for `bytes` more. Returns false if reading has to pause until
  // Decide names the connection.
  bool Reserve(Id id, size_t bytes, MonoTime now);
  // Charges bytes that exist in any case, such as a response.
  void Charge(Id id, size_t bytes);
  // Gives back all but the base.
  void Release(Id id);

  // Names the paused connections that may go on, their bytes reserved, and
  // those to close now. Each is named once.
  Decisions Decide(MonoTime now);

  size_t reserved() const { return reserved_; }
  size_t paused() const { return paused_; }
  // Whether new decisions are due soon: a pause lasts, or connections have to
  // make room.
  bool urgent() const;

  // A connection is silent once nothing has arrived for this long. Lost packets
  // are sent again within it.
  static constexpr std::chrono::milliseconds kSilence{500};
  // Reading pauses at most this long before connections that are not silent are
  // closed as well.
  static constexpr std::chrono::milliseconds kLongestPause{300};
  // A paused connection is closed itself after this long without any other to
  // close: its caller does not wait longer.
  static constexpr std::chrono::milliseconds kGiveUp{3'000};

 private:
  struct Connection {
    int group = 0;
    size_t base = 0;
    size_t held = 0;
    Phase phase = Phase::kIdle;
    MonoTime phase_since;
    MonoTime progress_at;
    bool paused = false;
    MonoTime paused_at;
    size_t wanted = 0;
    bool closing = false;
  };

  static bool MayClose(const Connection& connection);
  static std::chrono::milliseconds Silence(const Connection& connection,
                                           MonoTime now);
  CloseCause LateCause(const Connection& connection, MonoTime now) const;
  // The connection that holds most for the least progress; 0 if there is none.
  Id Worst(int group, bool silent_only, Id except, MonoTime now) const;
  void MarkClosing(Id id, CloseCause cause, Decisions* decisions);
  void Resume(Id id, MonoTime now, Decisions* decisions);
  void CloseLate(MonoTime now, Decisions* decisions);
  void MakeRoomForConnections(MonoTime now, Decisions* decisions);
  // The paused connection that goes on first; 0 if there is none.
  Id FirstPaused() const;
  // What is reserved by connections that go on.
  size_t Kept() const { return reserved_ - closing_bytes_; }

  const size_t capacity_;
  std::vector<Group> groups_;
  std::map<Id, Connection> connections_;
  Id next_id_ = 1;
  size_t reserved_ = 0;
  // Held by connections that are being closed.
  size_t closing_bytes_ = 0;
  size_t paused_ = 0;
};

}  // namespace figflow

#endif  // HTTP_BYTE_BUDGET_H_
