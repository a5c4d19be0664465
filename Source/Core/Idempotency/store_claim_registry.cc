#include "Idempotency/store_claim_registry.h"

#include <random>
#include <utility>

#include <boost/asio/post.hpp>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr std::chrono::milliseconds kSweepPeriod{20};

ClaimContext MakeContext(ClaimOptions options,
                         KeyValueStore& store,
                         const Clock& clock,
                         MetricsRegistry& metrics) {
  std::random_device random;
  const auto counter = [&metrics](absl::string_view result) -> Counter& {
    return metrics.GetCounter(
        absl::StrCat("figflow_claims_total{result=\"", result, "\"}"));
  };
  ClaimWriter self{options.entry.value(), options.incarnation,
                   absl::StrCat(absl::Hex(random(), absl::kZeroPad8),
                                absl::Hex(random(), absl::kZeroPad8))};
  return ClaimContext{store,
                      clock,
                      std::move(options),
                      std::move(self),
                      counter("claimed"),
                      counter("already-claimed"),
                      counter("refused"),
                      counter("unknown"),
                      metrics.GetCounter("figflow_claim_conflicts_total"),
                      metrics.GetCounter("figflow_claim_lost_answers_total")};
}

}  // namespace

StoreClaimRegistry::StoreClaimRegistry(ClaimOptions options,
                                       KeyValueStore& store,
                                       const Clock& clock,
                                       MetricsRegistry& metrics)
    : context_(MakeContext(std::move(options), store, clock, metrics)),
      pool_(static_cast<size_t>(context_.options.threads)) {
  for (size_t i = 0; i < kShards; ++i) {
    shards_[i] = std::make_unique<ClaimShard>(
        absl::StrCat("claims/", i / 10, i % 10), context_);
  }
  sweeper_ = std::thread([this] { RefuseExpiredPeriodically(); });
}

StoreClaimRegistry::~StoreClaimRegistry() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stopping_changed_.notify_one();
  sweeper_.join();
  for (const auto& shard : shards_) {
    shard->Close();
  }
  pool_.join();
}

void StoreClaimRegistry::Claim(const ProjectId& scope,
                               absl::string_view key,
                               MonoTime deadline,
                               ClaimCallback done) {
  const ClaimDigest digest = DigestOf(scope, key);
  ClaimShard& shard = *shards_[digest[0] % kShards];
  if (shard.Enqueue(PendingClaim{digest, next_number_++, deadline,
                                 std::move(done), false})) {
    Schedule(shard);
  }
}

// One round at a time, so that a busy shard does not hold a thread for itself.
void StoreClaimRegistry::Schedule(ClaimShard& shard) {
  boost::asio::post(pool_, [this, &shard] {
    if (shard.Step()) {
      Schedule(shard);
    }
  });
}

void StoreClaimRegistry::RefuseExpiredPeriodically() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopping_changed_.wait_for(lock, kSweepPeriod,
                                     [this] { return stopping_; })) {
    lock.unlock();
    for (const auto& shard : shards_) {
      shard->RefuseExpired();
    }
    lock.lock();
  }
}

}  // namespace figflow
