#ifndef IDEMPOTENCY_RUN_ONCE_H_
#define IDEMPOTENCY_RUN_ONCE_H_

#include <functional>
#include <string>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "absl/strings/string_view.h"

namespace figflow {

enum class TicketVerdict {
  // Not in the format of a ticket: treat as a caller's own key.
  kNotATicket,
  // Issued by this incarnation and unused until now: run the request.
  kRun,
  // Issued by this incarnation and used before: do not run.
  kAlreadyUsed,
  // Issued by a running daemon on another entry instance: relay to it.
  kOtherEntry,
  // Issued by an earlier incarnation of this entry: never run, may have run.
  kEarlierIncarnation,
  // The signature does not match or the ticket has expired: never run.
  kInvalid,
};

struct TicketCheck {
  TicketVerdict verdict = TicketVerdict::kInvalid;
  // The issuer, for kOtherEntry.
  EntryId issuer;
};

// Issues and redeems tickets without the store. Thread-safe.
class TicketBook {
 public:
  virtual ~TicketBook() = default;
  virtual std::string Issue(WallTime now) = 0;
  // Redeems the ticket: a second call for it returns kAlreadyUsed.
  virtual TicketCheck Redeem(absl::string_view ticket, WallTime now) = 0;
};

enum class ClaimVerdict { kClaimed, kAlreadyClaimed };

// kUnavailable: certainly not claimed, the request was not run.
// kUnknownOutcome: the claim may stand in the store; the request was not run
// here, and the key stays unusable.
using ClaimCallback = std::function<void(Result<ClaimVerdict>)>;

// Claims callers' keys in the platform's store. Thread-safe.
class ClaimRegistry {
 public:
  virtual ~ClaimRegistry() = default;
  // Calls `done` exactly once, from any thread, without locks held. `scope` is
  // the project: the same key in two projects is two keys.
  virtual void Claim(const ProjectId& scope,
                     absl::string_view key,
                     MonoTime deadline,
                     ClaimCallback done) = 0;
};

}  // namespace figflow

#endif  // IDEMPOTENCY_RUN_ONCE_H_
