#ifndef PLATFORM_PLATFORM_FIXTURE_H_
#define PLATFORM_PLATFORM_FIXTURE_H_

#include <chrono>
#include <string>

#include <cppunit/TestAssert.h>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Platform/http_fleet_service.h"
#include "Platform/http_key_value_store.h"
#include "Platform/platform_client.h"
#include "StandIns/Platform/platform_server.h"
#include "absl/synchronization/mutex.h"

namespace figflow::test {

// Moves only when told to.
class ManualClock : public Clock {
 public:
  MonoTime Now() const override {
    absl::MutexLock lock(&mutex_);
    return MonoTime() + std::chrono::hours(1) + passed_;
  }
  WallTime WallNow() const override {
    absl::MutexLock lock(&mutex_);
    return FromEpoch(std::chrono::hours(1)) + passed_;
  }
  void Advance(std::chrono::milliseconds by) {
    absl::MutexLock lock(&mutex_);
    passed_ += by;
  }

 private:
  mutable absl::Mutex mutex_;
  std::chrono::milliseconds passed_{0};
};

// A stand-in platform on a free port with clients.
class PlatformFixture {
 public:
  explicit PlatformFixture(const standin::StandinSettings& settings,
                           const Clock& clock)
      : server_(settings, clock),
        started_(server_.Start()),
        client_(server_.address(), metrics_),
        store(client_),
        fleet(client_) {
    CPPUNIT_ASSERT(started_);
  }
  ~PlatformFixture() { server_.Stop(); }

  // Calls the stand-in's control API; returns the HTTP status.
  int Control(const char* path, const char* json) {
    return server_.Handle({"POST", path, {}, json})->status;
  }
  uint64_t Counted(const char* name) {
    return metrics_.GetCounter(name).value();
  }

 private:
  MetricsRegistry metrics_;
  standin::PlatformServer server_;
  Result<void> started_;
  PlatformClient client_;

 public:
  HttpKeyValueStore store;
  HttpFleetService fleet;
};

template <typename T>
std::string CodeOf(const Result<T>& result) {
  return result ? "ok" : std::string(ErrorCodeName(result.error().code));
}

}  // namespace figflow::test

#endif  // PLATFORM_PLATFORM_FIXTURE_H_
