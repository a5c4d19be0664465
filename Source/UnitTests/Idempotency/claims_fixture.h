#ifndef IDEMPOTENCY_CLAIMS_FIXTURE_H_
#define IDEMPOTENCY_CLAIMS_FIXTURE_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "Idempotency/store_claim_registry.h"
#include "Support/fake_key_value_store.h"

namespace figflow::test {

inline const ProjectId kScope("bookings");

class ShiftedClock : public Clock {
 public:
  MonoTime Now() const override { return system_.Now(); }
  WallTime WallNow() const override {
    return system_.WallNow() + std::chrono::hours(shift_hours.load());
  }
  std::atomic<int> shift_hours{0};

 private:
  SystemClock system_;
};

// Passes calls on one at a time, in a form that ThreadSanitizer sees, and adds
// faults that the fake does not have: writes that arrive late and a gate.
class FaultyStore : public FakeKeyValueStore {
 public:
  // Faults that are on while set, to be changed from any thread. The next
  // `hold_back` writes are held back; their callers get kUnknownOutcome.
  std::atomic<int> hold_back{0};
  std::atomic<bool> reads_fail{false};
  // Writes are refused, after those that are held back.
  std::atomic<bool> writes_fail{false};

  // Writes held back arrive now.
  void ReleaseWrites() {
    std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& write : held_back_) {
      write();
    }
    held_back_.clear();
  }
  // Calls block while the gate is shut.
  void SetGate(bool open) {
    std::lock_guard<std::mutex> lock(mutex_);
    open_ = open;
    opened_.notify_all();
  }

  Result<std::optional<VersionedValue>> Get(
      absl::string_view key,
      std::chrono::milliseconds timeout) override {
    std::unique_lock<std::mutex> lock(mutex_);
    opened_.wait(lock, [this] { return open_; });
    if (reads_fail) {
      return Fail(ErrorCode::kUnavailable, "kv.get", "", "no answer");
    }
    return FakeKeyValueStore::Get(key, timeout);
  }
  Result<uint64_t> CompareAndSwap(absl::string_view key,
                                  uint64_t expected,
                                  absl::string_view value,
                                  std::chrono::milliseconds timeout,
                                  LeaseId lease) override {
    std::unique_lock<std::mutex> lock(mutex_);
    opened_.wait(lock, [this] { return open_; });
    if (hold_back > 0) {
      --hold_back;
      held_back_.emplace_back([this, key = std::string(key), expected,
                               value = std::string(value), timeout] {
        (void)FakeKeyValueStore::CompareAndSwap(key, expected, value, timeout);
      });
      return Fail(ErrorCode::kUnknownOutcome, "kv.compare_and_swap", "",
                  "no answer");
    }
    if (writes_fail) {
      return Fail(ErrorCode::kUnavailable, "kv.compare_and_swap", "",
                  "not accepted");
    }
    return FakeKeyValueStore::CompareAndSwap(key, expected, value, timeout,
                                             lease);
  }

 private:
  std::mutex mutex_;
  std::condition_variable opened_;
  bool open_ = true;
  std::vector<std::function<void()>> held_back_;
};

// One daemon's registry and the answers to its claims.
class Daemon {
 public:
  Daemon(KeyValueStore& store,
         const Clock& clock,
         const std::string& entry,
         uint64_t incarnation = 1,
         size_t max_bytes = 900'000)
      : clock_(clock),
        registry_(Options(entry, incarnation, max_bytes),
                  store,
                  clock,
                  metrics) {}

  std::future<std::string> Start(
      const std::string& key,
      std::chrono::milliseconds patience = std::chrono::seconds(20)) {
    auto answer = std::make_shared<std::promise<std::string>>();
    registry_.Claim(kScope, key, clock_.Now() + patience,
                    [answer](const Result<ClaimVerdict>& result) {
                      answer->set_value(Name(result));
                    });
    return answer->get_future();
  }
  std::string Claim(
      const std::string& key,
      std::chrono::milliseconds patience = std::chrono::seconds(20)) {
    return Start(key, patience).get();
  }

  MetricsRegistry metrics;

 private:
  static ClaimOptions Options(const std::string& entry,
                              uint64_t incarnation,
                              size_t max_bytes) {
    ClaimOptions options;
    options.entry = EntryId(entry);
    options.incarnation = incarnation;
    options.max_document_bytes = max_bytes;
    options.threads = 4;
    return options;
  }
  static std::string Name(const Result<ClaimVerdict>& result) {
    if (!result) {
      return std::string(ErrorCodeName(result.error().code));
    }
    return *result == ClaimVerdict::kClaimed ? "claimed" : "already";
  }

  const Clock& clock_;
  StoreClaimRegistry registry_;
};

struct TwoDaemons {
  FaultyStore store;
  ShiftedClock clock;
  Daemon a{store, clock, "a"};
  Daemon b{store, clock, "b"};
};

}  // namespace figflow::test

#endif  // IDEMPOTENCY_CLAIMS_FIXTURE_H_
