#include "Idempotency/claim_shard.h"

#include <algorithm>
#include <iterator>
#include <thread>

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kFirstBackOff{5};
constexpr std::chrono::milliseconds kLongestBackOff{80};

}  // namespace

ClaimShard::ClaimShard(std::string key, const ClaimContext& context)
    : key_(std::move(key)), context_(context) {}

std::chrono::seconds ClaimShard::NowSeconds() const {
  return std::chrono::duration_cast<std::chrono::seconds>(
      SinceEpoch(context_.clock.WallNow()));
}

template <typename Verdict>
void ClaimShard::Settle(std::vector<PendingClaim>& claims,
                        Answers& answers,
                        Verdict verdict) {
  std::vector<PendingClaim> kept;
  for (PendingClaim& claim : claims) {
    std::optional<Result<ClaimVerdict>> result = verdict(claim);
    if (result) {
      answers.emplace_back(std::move(claim.done), std::move(*result));
    } else {
      kept.push_back(std::move(claim));
    }
  }
  claims = std::move(kept);
}

void ClaimShard::Deliver(const Answers& answers) const {
  for (const auto& [done, result] : answers) {
    if (!result) {
      (result.error().code == ErrorCode::kUnknownOutcome ? context_.unknown
                                                         : context_.refused)
          .Add();
    } else {
      (*result == ClaimVerdict::kClaimed ? context_.claimed
                                         : context_.duplicates)
          .Add();
    }
    done(result);
  }
}

Result<ClaimVerdict> ClaimShard::Refusal(const PendingClaim& claim,
                                         absl::string_view step,
                                         absl::string_view message) const {
  return Fail(
      claim.in_doubt ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable,
      std::string(step), key_, std::string(message));
}

bool ClaimShard::Enqueue(PendingClaim claim) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (!closed_) {
      waiting_.push_back(std::move(claim));
      return !std::exchange(running_, true);
    }
  }
  Answers answers;
  answers.emplace_back(std::move(claim.done),
                       Refusal(claim, "claims.claim", "figflow is stopping"));
  Deliver(answers);
  return false;
}

bool ClaimShard::TakeWaiting() {
  bool closed = false;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    std::move(waiting_.begin(), waiting_.end(), std::back_inserter(batch_));
    waiting_.clear();
    closed = closed_;
    running_ = !batch_.empty() && !closed;
  }
  if (closed) {
    RefuseBatch("claims.claim", "figflow is stopping", true);
  }
  return !batch_.empty();
}

bool ClaimShard::Step() {
  if (!TakeWaiting()) {
    return false;
  }
  const MonoTime now = context_.clock.Now();
  Answers expired;
  Settle(batch_, expired, [this, now](const PendingClaim& claim) {
    return claim.deadline > now
               ? std::nullopt
               : std::make_optional(Refusal(claim, "claims.claim",
                                            "deadline passed while claiming"));
  });
  Deliver(expired);
  if (batch_.empty() || (!trust_cache_ && !Load())) {
    return true;
  }
  SettleByDocument();
  if (!batch_.empty()) {
    Write();
  }
  return true;
}

void ClaimShard::RefuseBatch(absl::string_view step,
                             absl::string_view message,
                             bool in_doubt_too) {
  Answers answers;
  Settle(batch_, answers, [&](const PendingClaim& claim) {
    return claim.in_doubt && !in_doubt_too
               ? std::nullopt
               : std::make_optional(Refusal(claim, step, message));
  });
  Deliver(answers);
}

bool ClaimShard::Load() {
  Result<std::optional<VersionedValue>> stored =
      context_.store.Get(key_, context_.options.call_timeout);
  if (!stored) {
    RefuseBatch("claims.read", stored.error().message, false);
    BackOff();
    return false;
  }
  const uint64_t revision = *stored ? (*stored)->revision : 0;
  if (!cached_ || cached_->revision != revision) {
    Result<ClaimDocument> document =
        *stored ? ClaimDocument::Parse((*stored)->value) : ClaimDocument();
    if (!document) {
      cached_.reset();
      RefuseBatch("claims.read", document.error().message, false);
      BackOff();
      return false;
    }
    cached_ = Cached{std::move(*document), revision};
  }
  trust_cache_ = true;
  return true;
}

void ClaimShard::SettleByDocument() {
  const std::chrono::seconds now = NowSeconds();
  cached_->document.Prune(now - context_.options.retention);
  const bool lost_writes_void = cached_->revision != doubt_revision_;
  Answers answers;
  Settle(batch_, answers,
         [&](PendingClaim& claim) -> std::optional<Result<ClaimVerdict>> {
           if (cached_->document.Contains(claim.digest)) {
             return cached_->document.IsClaimOf(claim.digest, context_.self,
                                                claim.number)
                        ? ClaimVerdict::kClaimed
                        : ClaimVerdict::kAlreadyClaimed;
           }
           claim.in_doubt = claim.in_doubt && !lost_writes_void;
           return std::nullopt;
         });
  Deliver(answers);
}

ClaimDocument ClaimShard::Extended() {
  ClaimDocument document = cached_->document;
  const std::chrono::seconds now = NowSeconds();
  Answers answers;
  Settle(batch_, answers,
         [&](const PendingClaim& claim) -> std::optional<Result<ClaimVerdict>> {
           // A second claim for a key waits until the first is in the store.
           if (document.Contains(claim.digest)) {
             return std::nullopt;
           }
           // Claims in doubt fitted before and stay in the document.
           if (!claim.in_doubt &&
               document.MaxBytes() >= context_.options.max_document_bytes) {
             return Refusal(claim, "claims.claim",
                            "the claim document is full until claims expire");
           }
           document.Add(claim.digest, context_.self, claim.number, now);
           return std::nullopt;
         });
  Deliver(answers);
  return document;
}

void ClaimShard::Write() {
  ClaimDocument document = Extended();
  if (batch_.empty()) {
    return;
  }
  const Result<uint64_t> revision =
      context_.store.CompareAndSwap(key_, cached_->revision, document.Format(),
                                    context_.options.call_timeout);
  if (revision) {
    cached_ = Cached{std::move(document), *revision};
    back_off_ = std::chrono::milliseconds::zero();
    SettleByDocument();
    return;
  }
  trust_cache_ = false;
  switch (revision.error().code) {
    case ErrorCode::kConflict:
      context_.conflicts.Add();
      return;
    case ErrorCode::kUnknownOutcome:
      context_.lost_answers.Add();
      doubt_revision_ = cached_->revision;
      for (PendingClaim& claim : batch_) {
        claim.in_doubt = true;
      }
      BackOff();
      return;
    default:
      RefuseBatch("claims.write", revision.error().message, false);
      BackOff();
  }
}

// Keeps claims in doubt from calling a failing store in a tight loop.
void ClaimShard::BackOff() {
  if (batch_.empty()) {
    return;
  }
  std::this_thread::sleep_for(back_off_);
  back_off_ = std::min(std::max(2 * back_off_, kFirstBackOff), kLongestBackOff);
}

void ClaimShard::RefuseExpired() {
  const MonoTime now = context_.clock.Now();
  Answers answers;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    Settle(waiting_, answers, [this, now](const PendingClaim& claim) {
      return claim.deadline > now
                 ? std::nullopt
                 : std::make_optional(
                       Refusal(claim, "claims.claim",
                               "deadline passed before the store was called"));
    });
  }
  Deliver(answers);
}

void ClaimShard::Close() {
  Answers answers;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    closed_ = true;
    Settle(waiting_, answers, [this](const PendingClaim& claim) {
      return std::make_optional(
          Refusal(claim, "claims.claim", "figflow is stopping"));
    });
  }
  Deliver(answers);
}

}  // namespace figflow
