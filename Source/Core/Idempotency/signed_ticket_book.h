#ifndef IDEMPOTENCY_SIGNED_TICKET_BOOK_H_
#define IDEMPOTENCY_SIGNED_TICKET_BOOK_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Idempotency/run_once.h"
#include "absl/base/thread_annotations.h"

namespace figflow {

struct TicketOptions {
  EntryId entry;
  // Must differ for each start of the daemon: the set of used tickets does not
  // survive a restart.
  uint64_t incarnation = 0;
  // Shared by all daemons.
  std::string credential;
  std::chrono::milliseconds lifetime = std::chrono::minutes(5);
};

// Tickets "fft1.<payload>.<HMAC-SHA256>", both parts in URL-safe base64. The
// payload holds the entry, the incarnation, the expiry time and a random nonce.
class SignedTicketBook : public TicketBook {
 public:
  explicit SignedTicketBook(TicketOptions options);

  std::string Issue(WallTime now) override;
  // A ticket of another incarnation of this entry, higher ones included, is
  // kEarlierIncarnation. The expiry of another entry's ticket is left to that
  // entry. A used ticket is remembered for one more lifetime after its expiry
  // and reported as kAlreadyUsed.
  TicketCheck Redeem(absl::string_view ticket, WallTime now) override;

 private:
  // Expiry in milliseconds since the epoch, and the nonce.
  using UsedTicket = std::pair<int64_t, std::string>;

  std::string Sign(absl::string_view payload) const;

  const TicketOptions options_;
  std::mutex mutex_;
  // The latest time seen. A clock that is set back must not make an expired
  // ticket valid again, as it may be forgotten already.
  int64_t latest_ms_ ABSL_GUARDED_BY(mutex_) = 0;
  std::set<UsedTicket> used_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // IDEMPOTENCY_SIGNED_TICKET_BOOK_H_
