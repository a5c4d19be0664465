#ifndef OWNERSHIP_RECORD_WRITER_H_
#define OWNERSHIP_RECORD_WRITER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Common/clock.h"
#include "Platform/transactional_store.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

class MetricsRegistry;
class LatencyHistogram;
class Counter;

// Writes the records of an owned pool, one transaction at a time.
//
// Each transaction is conditional on the owner's key and replaces the sequence
// key. Therefore:
// - a deposed owner can't write;
// - a transaction whose response was lost is simply sent again: exactly one
//   copy takes effect, and a copy that the store applies late changes nothing.
class RecordWriter : public std::enable_shared_from_this<RecordWriter> {
 public:
  struct Ownership {
    std::string pool;
    std::string nonce;
    uint64_t owner_revision = 0;
    // Revision of the sequence key; 0 if it does not exist yet.
    uint64_t sequence_revision = 0;
  };

  enum class Outcome {
    kWritten,
    kDeposed,
    // The store has refused the transaction and would refuse it again; nothing
    // of it was written.
    kRefused,
  };
  using Done = std::function<void(Outcome)>;

  // Maximum number of records in one transaction, which also holds the
  // conditions and the sequence key.
  static constexpr size_t kMaxRecords = kMaxTransactionEntries - 4;

  // `wake` requests a call of Step; it must not call the writer.
  RecordWriter(TransactionalStore& store,
               const Clock& clock,
               MetricsRegistry& metrics,
               Ownership ownership,
               std::function<void()> wake);

  // Writes and removes records. Only one write may be in progress. `done` is
  // called once, unless the writer is stopped.
  void Write(std::vector<StoreWrite> writes,
             std::vector<std::string> removals,
             Done done);
  // Repeats a failed transaction if its retry delay has passed. Returns when to
  // call again.
  MonoTime Step(MonoTime now);
  // Stops all retries and releases `done`.
  void Stop();

 private:
  void SendTransaction();
  void OnCommitResponse(MonoTime sent_at,
                        const Result<TransactionResult>& result);
  void FinishWrite(Outcome outcome);
  // Whether a rejected transaction was already applied or the owner is deposed.
  enum class RejectionCause { kWritten, kDeposed };
  RejectionCause EvaluateRejection(const TransactionResult& result,
                                   uint64_t* revision) const;

  TransactionalStore& store_;
  const Clock& clock_;
  const Ownership ownership_;
  LatencyHistogram& latency_;
  Counter& retries_;
  const std::function<void()> wake_;

  absl::Mutex mutex_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  bool retry_pending_ ABSL_GUARDED_BY(mutex_) = false;
  MonoTime retry_at_ ABSL_GUARDED_BY(mutex_) = MonoTime::max();
  Done done_ ABSL_GUARDED_BY(mutex_);
  // Used only by the write in progress.
  Transaction transaction_;
  uint64_t sequence_revision_ = 0;
  uint64_t write_number_ = 0;
  MonoTime write_started_at_;
  std::chrono::milliseconds timeout_;
};

}  // namespace figflow

#endif  // OWNERSHIP_RECORD_WRITER_H_
