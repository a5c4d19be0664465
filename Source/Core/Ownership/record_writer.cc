#include "Ownership/record_writer.h"

#include <algorithm>

#include "Common/log.h"
#include "Common/metrics.h"
#include "Ownership/owner_record.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

// Time lost with each lost response; the store usually responds within 5 ms.
constexpr std::chrono::milliseconds kInitialTimeout{300};
// Allows for a slow store, up to 70 times slower than usual.
constexpr std::chrono::milliseconds kMaxTimeout{1'500};
// Delay before a rejected request is sent again.
constexpr std::chrono::milliseconds kRejectionRetryDelay{60};

}  // namespace

RecordWriter::RecordWriter(TransactionalStore& store,
                           const Clock& clock,
                           MetricsRegistry& metrics,
                           Ownership ownership,
                           std::function<void()> wake)
    : store_(store),
      clock_(clock),
      ownership_(std::move(ownership)),
      latency_(metrics.GetHistogram("figflow_store_commit")),
      retries_(metrics.GetCounter("figflow_store_commit_retries_total")),
      wake_(std::move(wake)),
      sequence_revision_(ownership_.sequence_revision),
      timeout_(kInitialTimeout) {}

void RecordWriter::Write(std::vector<StoreWrite> writes,
                         std::vector<std::string> removals,
                         Done done) {
  transaction_ = Transaction();
  transaction_.expected = {
      {OwnerKey(ownership_.pool), ownership_.owner_revision},
      {SequenceKey(ownership_.pool), sequence_revision_}};
  transaction_.writes = std::move(writes);
  transaction_.writes.push_back(
      {SequenceKey(ownership_.pool),
       FormatSequenceRecord({ownership_.nonce, ++write_number_}), 0});
  transaction_.removals = std::move(removals);
  {
    absl::MutexLock lock(&mutex_);
    done_ = std::move(done);
  }
  write_started_at_ = clock_.Now();
  SendTransaction();
}

void RecordWriter::SendTransaction() {
  const MonoTime sent_at = clock_.Now();
  store_.Commit(transaction_, timeout_,
                [self = shared_from_this(),
                 sent_at](const Result<TransactionResult>& result) {
                  self->OnCommitResponse(sent_at, result);
                });
}

RecordWriter::RejectionCause RecordWriter::EvaluateRejection(
    const TransactionResult& result,
    uint64_t* revision) const {
  const std::string sequence_key = SequenceKey(ownership_.pool);
  for (const StoreItem& item : result.current) {
    if (item.key != sequence_key || item.removed) {
      continue;
    }
    const Result<SequenceRecord> record = ParseSequenceRecord(item.value);
    if (record && record->nonce == ownership_.nonce &&
        record->number == write_number_) {
      *revision = item.revision;
      return RejectionCause::kWritten;
    }
  }
  return RejectionCause::kDeposed;
}

void RecordWriter::OnCommitResponse(MonoTime sent_at,
                                    const Result<TransactionResult>& result) {
  const MonoTime now = clock_.Now();
  if (!result && result.error().code == ErrorCode::kRefused) {
    LogEvent(LogLevel::kError, LogCategory::kPlatform, "store_write_refused",
             {{"pool", ownership_.pool},
              {"writes", absl::StrCat(transaction_.writes.size())},
              {"removals", absl::StrCat(transaction_.removals.size())},
              {"error", ToString(result.error())}});
    FinishWrite(Outcome::kRefused);
    return;
  }
  if (!result) {
    const bool no_response = result.error().code != ErrorCode::kUnavailable;
    retries_.Add();
    {
      absl::MutexLock lock(&mutex_);
      if (no_response) {
        timeout_ = std::min(timeout_ * 2, kMaxTimeout);
      }
      retry_pending_ = true;
      // The time spent waiting for a lost response replaces the delay.
      retry_at_ = no_response ? now : now + kRejectionRetryDelay;
    }
    wake_();
    return;
  }
  const auto round_trip = now - sent_at;
  timeout_ = std::clamp(
      std::chrono::duration_cast<std::chrono::milliseconds>(round_trip * 4),
      kInitialTimeout, kMaxTimeout);
  if (result->committed) {
    sequence_revision_ = result->revision;
    latency_.Record(now - write_started_at_);
    FinishWrite(Outcome::kWritten);
    return;
  }
  uint64_t revision = 0;
  if (EvaluateRejection(*result, &revision) == RejectionCause::kWritten) {
    sequence_revision_ = revision;
    latency_.Record(now - write_started_at_);
    FinishWrite(Outcome::kWritten);
    return;
  }
  FinishWrite(Outcome::kDeposed);
}

void RecordWriter::FinishWrite(Outcome outcome) {
  Done done;
  {
    absl::MutexLock lock(&mutex_);
    done.swap(done_);
  }
  if (done) {
    done(outcome);
  }
}

MonoTime RecordWriter::Step(MonoTime now) {
  {
    absl::MutexLock lock(&mutex_);
    if (stopped_ || !retry_pending_) {
      return MonoTime::max();
    }
    if (now < retry_at_) {
      return retry_at_;
    }
    retry_pending_ = false;
  }
  SendTransaction();
  return MonoTime::max();
}

void RecordWriter::Stop() {
  // A callback that is kept without being called would keep the whole state of
  // the pool alive.
  Done dropped;
  absl::MutexLock lock(&mutex_);
  stopped_ = true;
  dropped.swap(done_);
}

}  // namespace figflow
