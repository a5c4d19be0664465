#ifndef IDEMPOTENCY_CLAIM_SHARD_H_
#define IDEMPOTENCY_CLAIM_SHARD_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Idempotency/claim_document.h"
#include "Idempotency/run_once.h"
#include "Platform/key_value_store.h"
#include "absl/base/thread_annotations.h"

namespace figflow {

struct ClaimOptions {
  EntryId entry;
  uint64_t incarnation = 0;
  // A key may be used again after this time.
  std::chrono::seconds retention = std::chrono::hours(1);
  // Timeout of one store call.
  std::chrono::milliseconds call_timeout{500};
  // Below the store's limit of 1 MB. Holds about 12,000 claims per shard.
  size_t max_document_bytes = 900'000;
  // Threads that wait for the store.
  int threads = 8;
};

// What all shards of a registry share.
struct ClaimContext {
  KeyValueStore& store;
  const Clock& clock;
  ClaimOptions options;
  ClaimWriter self;
  Counter& claimed;
  Counter& duplicates;
  Counter& refused;
  Counter& unknown;
  Counter& conflicts;
  Counter& lost_answers;
};

struct PendingClaim {
  ClaimDigest digest;
  // Unique within the process.
  uint64_t number = 0;
  MonoTime deadline;
  ClaimCallback done;
  // A write with this claim may have taken effect or may still do so.
  bool in_doubt = false;
};

// Claims of one shard document. All claims that wait while a store call is
// running go into the next write.
//
// A write whose answer was lost stays possible until the document's revision
// has changed. Its claims are therefore written again, under the same numbers
// and on the same revision: either the new write succeeds, and the lost one can
// no longer take effect, or the revision has changed and the document read back
// shows who owns the key.
class ClaimShard {
 public:
  // `context` must outlive the shard.
  ClaimShard(std::string key, const ClaimContext& context);

  // Returns true if the caller has to have Step called: it was idle.
  bool Enqueue(PendingClaim claim);
  // Does one round with the store; blocks. Only one thread at a time. Returns
  // false if nothing is left to do, until the next Enqueue returns true.
  bool Step();
  // Refuses claims past their deadline that no write contains. Claims in a
  // running store call are answered after it.
  void RefuseExpired();
  // Refuses all claims; later ones are refused at once.
  void Close();

 private:
  struct Cached {
    ClaimDocument document;
    uint64_t revision = 0;
  };
  using Answer = std::pair<ClaimCallback, Result<ClaimVerdict>>;
  using Answers = std::vector<Answer>;

  // Removes the claims for which `verdict` returns a result and adds their
  // answers.
  template <typename Verdict>
  static void Settle(std::vector<PendingClaim>& claims,
                     Answers& answers,
                     Verdict verdict);
  void Deliver(const Answers& answers) const;
  Result<ClaimVerdict> Refusal(const PendingClaim& claim,
                               absl::string_view step,
                               absl::string_view message) const;

  std::chrono::seconds NowSeconds() const;
  bool TakeWaiting();
  void RefuseBatch(absl::string_view step,
                   absl::string_view message,
                   bool in_doubt_too);
  bool Load();
  void SettleByDocument();
  // The document with the batch's claims. Refuses claims that do not fit.
  ClaimDocument Extended();
  void Write();
  void BackOff();

  const std::string key_;
  const ClaimContext& context_;

  std::mutex mutex_;
  std::vector<PendingClaim> waiting_ ABSL_GUARDED_BY(mutex_);
  bool running_ ABSL_GUARDED_BY(mutex_) = false;
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;

  // Used by the running Step only.
  std::vector<PendingClaim> batch_;
  std::optional<Cached> cached_;
  // Whether to write on the cached revision without reading first. Unset by a
  // conflict and set again when a read finds the cached revision, because
  // the store takes far fewer writes a second than reads.
  bool trust_cache_ = false;
  // Revision on which the lost writes of claims in doubt were based.
  uint64_t doubt_revision_ = 0;
  std::chrono::milliseconds back_off_{0};
};

}  // namespace figflow

#endif  // IDEMPOTENCY_CLAIM_SHARD_H_
