#ifndef IDEMPOTENCY_STORE_CLAIM_REGISTRY_H_
#define IDEMPOTENCY_STORE_CLAIM_REGISTRY_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/thread_pool.hpp>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Idempotency/claim_shard.h"
#include "Idempotency/run_once.h"
#include "Platform/key_value_store.h"
#include "absl/base/thread_annotations.h"

namespace figflow {

// Claims in the documents "claims/00" to "claims/63" of the store, chosen by
// the digest of scope and key. Store calls run on a small thread pool.
class StoreClaimRegistry : public ClaimRegistry {
 public:
  static constexpr size_t kShards = 64;

  // All arguments but `options` must outlive the registry.
  StoreClaimRegistry(ClaimOptions options,
                     KeyValueStore& store,
                     const Clock& clock,
                     MetricsRegistry& metrics);
  // Waits for the running store calls. Claims that are still open are refused,
  // those in doubt with kUnknownOutcome.
  ~StoreClaimRegistry() override;
  StoreClaimRegistry(const StoreClaimRegistry&) = delete;
  StoreClaimRegistry& operator=(const StoreClaimRegistry&) = delete;

  void Claim(const ProjectId& scope,
             absl::string_view key,
             MonoTime deadline,
             ClaimCallback done) override;

 private:
  void Schedule(ClaimShard& shard);
  void RefuseExpiredPeriodically();

  const ClaimContext context_;
  std::array<std::unique_ptr<ClaimShard>, kShards> shards_;
  std::atomic<uint64_t> next_number_{1};
  boost::asio::thread_pool pool_;

  std::mutex mutex_;
  std::condition_variable stopping_changed_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // Answers claims on time while all pool threads wait for a slow store.
  std::thread sweeper_;
};

}  // namespace figflow

#endif  // IDEMPOTENCY_STORE_CLAIM_REGISTRY_H_
