#ifndef PLATFORM_TRANSACTIONAL_STORE_H_
#define PLATFORM_TRANSACTIONAL_STORE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Common/error.h"
#include "Platform/key_value_store.h"

namespace figflow {

// Entries of one transaction that the store accepts: conditions, writes and
// removals together.
inline constexpr size_t kMaxTransactionEntries = 32;

struct StoreItem {
  std::string key;
  std::string value;
  // Store-wide revision of the last change.
  uint64_t revision = 0;
  LeaseId lease = 0;
  // The key was removed at `revision`.
  bool removed = false;
};

// How a read was answered.
struct AnswerCost {
  // Size of the answer as it came.
  size_t bytes = 0;
  // From the call to the head of the answer, and to its end.
  std::chrono::milliseconds head{0};
  std::chrono::milliseconds whole{0};
};

struct RangePage {
  std::vector<StoreItem> items;
  // More keys follow after the last item.
  bool truncated = false;
  // Revision of the store at the read.
  uint64_t store_revision = 0;
  AnswerCost cost;
};

// A wait for changes.
struct WatchCall {
  std::string prefix;
  // Changes after it are asked for.
  uint64_t after_revision = 0;
  // The call is answered at the latest after this time.
  std::chrono::milliseconds wait{0};
  // An answer above this size is not read.
  size_t max_answer_bytes = size_t{16} << 20;
};

struct StoreChanges {
  // In the order of their revisions. Empty when the wait ran out.
  std::vector<StoreItem> changes;
  // Pass to the next watch.
  uint64_t store_revision = 0;
  // The store has forgotten the changes after the given revision: read the
  // range again.
  bool history_lost = false;
  // The changes take more than WatchCall::max_answer_bytes. The range holds
  // only the latest state of each key.
  bool too_large = false;
  AnswerCost cost;
};

struct StoreWrite {
  std::string key;
  std::string value;
  // The key is removed when the lease ends; 0 for none.
  LeaseId lease = 0;
};

// Takes effect as a whole, and only if each key of `expected` has the revision
// named with it; 0 stands for an absent key.
struct Transaction {
  std::vector<std::pair<std::string, uint64_t>> expected;
  std::vector<StoreWrite> writes;
  std::vector<std::string> removals;
};

struct TransactionResult {
  bool committed = false;
  uint64_t revision = 0;
  // When not committed: the expected keys as they are now. Absent keys are
  // left out or marked as removed.
  std::vector<StoreItem> current;
};

template <typename T>
using StoreCallback = std::function<void(Result<T>)>;

// The platform's metadata store. Calls return at once; `done` is called exactly
// once, from another thread, at most a little after `timeout`, or, if the
// answer has begun to arrive by then, once it has arrived or has ceased to.
//
// Errors: kUnavailable, the call certainly had no effect; kUnknownOutcome and
// kDeadlineExceeded, a write may have taken effect or may do so seconds later
// if its conditions still hold; kRefused, the call had no effect and would be
// refused again; kNotFound, no such key or lease; kInvalid, the
// answer cannot be read; kResourceExhausted, it is too large; kCancelled, of
// reads only: by EndIfSilent or the end of the client.
class TransactionalStore {
 public:
  virtual ~TransactionalStore() = default;

  virtual void Commit(const Transaction& transaction,
                      std::chrono::milliseconds timeout,
                      StoreCallback<TransactionResult> done) = 0;
  // One key; none if it is absent.
  virtual void Get(const std::string& key,
                   std::chrono::milliseconds timeout,
                   StoreCallback<std::optional<StoreItem>> done) = 0;
  // Keys under `prefix` after the key `after`, which may be empty. Returns the
  // call's id for EndIfSilent, as Watch does.
  virtual uint64_t Range(const std::string& prefix,
                         const std::string& after,
                         std::chrono::milliseconds timeout,
                         StoreCallback<RangePage> done) = 0;
  // Answers when a key under the prefix changes.
  virtual uint64_t Watch(const WatchCall& call,
                         StoreCallback<StoreChanges> done) = 0;
  // Ends the call with kCancelled unless its answer has begun to arrive.
  virtual void EndIfSilent(uint64_t call) = 0;
  virtual void GrantLease(std::chrono::milliseconds ttl,
                          std::chrono::milliseconds timeout,
                          StoreCallback<LeaseId> done) = 0;
  // Returns the time to live from the arrival of the call.
  virtual void KeepLease(LeaseId lease,
                         std::chrono::milliseconds timeout,
                         StoreCallback<std::chrono::milliseconds> done) = 0;
  virtual void EndLease(LeaseId lease,
                        std::chrono::milliseconds timeout,
                        StoreCallback<bool> done) = 0;
};

}  // namespace figflow

#endif  // PLATFORM_TRANSACTIONAL_STORE_H_
