#include "Platform/http_key_value_store.h"

#include <string>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Platform/platform_fixture.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::CodeOf;
using test::PlatformFixture;

constexpr milliseconds kHttpTimeout{2'000};

struct FaultCase {
  const char* fault;
  milliseconds timeout;
  const char* write;
  const char* read;
  // The write took effect.
  bool effect;
};

constexpr FaultCase kFaultCases[] = {
    {R"({})", kHttpTimeout, "ok", "ok", true},
    {R"({"down":true})", kHttpTimeout, "unavailable", "unavailable", false},
    {R"({"unreachable":true})", kHttpTimeout, "unknown-outcome", "unavailable",
     false},
    {R"({"lose_answers":1})", kHttpTimeout, "unknown-outcome", "ok", true},
    {R"({"lose_requests":1})", kHttpTimeout, "unknown-outcome", "ok", false},
    {R"({"slow_ms":20})", kHttpTimeout, "ok", "ok", true},
    {R"({"slow_ms":300})", milliseconds(100), "unknown-outcome", "unavailable",
     true},
};

class HttpKeyValueStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpKeyValueStoreTest);
  CPPUNIT_TEST(FaultsMapToCodesThatAreTrue);
  CPPUNIT_TEST(ComparesBeforeItWrites);
  CPPUNIT_TEST(WatchesReportWritesAndDeletions);
  CPPUNIT_TEST(LapsedLeasesDeleteTheirKeys);
  CPPUNIT_TEST(LimitsRateAndSize);
  CPPUNIT_TEST(RestoreBringsBackOldKeysUnnoticedByWatches);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against "unavailable" for a write that took effect, and against an
  // unknown outcome where the platform says that nothing happened.
  void FaultsMapToCodesThatAreTrue() {
    for (const FaultCase& c : kFaultCases) {
      PlatformFixture platform({}, clock_);
      CPPUNIT_ASSERT_EQUAL(200, platform.Control("/standin/fault", c.fault));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.fault, std::string(c.write),
          CodeOf(platform.store.CompareAndSwap("k", 0, "v", c.timeout)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.fault, std::string(c.read),
                                   CodeOf(platform.store.Get("x", c.timeout)));
      // A slow write may still be on its way when the client gives up.
      std::this_thread::sleep_for(
          milliseconds(c.timeout < kHttpTimeout ? 500 : 0));
      platform.Control("/standin/fault", R"({"reset":true})");
      const auto stored = platform.store.Get("k", kHttpTimeout);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.fault, c.effect,
                                   stored && stored->has_value());
    }
  }

  void ComparesBeforeItWrites() {
    PlatformFixture platform({}, clock_);
    HttpKeyValueStore& store = platform.store;
    const std::string key = "a/b c&d=e%\xC3\xA9";
    const auto first = store.CompareAndSwap(key, 0, "1", kHttpTimeout);
    CPPUNIT_ASSERT(first);
    CPPUNIT_ASSERT_EQUAL(
        std::string("conflict"),
        CodeOf(store.CompareAndSwap(key, 0, "2", kHttpTimeout)));
    const auto second = store.CompareAndSwap(key, *first, "2", kHttpTimeout);
    CPPUNIT_ASSERT(second && *second > *first);
    CPPUNIT_ASSERT_EQUAL(
        std::string("conflict"),
        CodeOf(store.CompareAndDelete(key, *first, kHttpTimeout)));
    const auto stored = store.Get(key, kHttpTimeout);
    CPPUNIT_ASSERT(stored && *stored);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), (*stored)->value);
    CPPUNIT_ASSERT_EQUAL(*second, (*stored)->revision);
    CPPUNIT_ASSERT(store.CompareAndSwap("b", 0, "", kHttpTimeout));
    const auto list = store.List("a/", kHttpTimeout);
    CPPUNIT_ASSERT(list && list->size() == 1 && (*list)[0].key == key);
    CPPUNIT_ASSERT(store.CompareAndDelete(key, *second, kHttpTimeout));
    const auto absent = store.Get(key, kHttpTimeout);
    CPPUNIT_ASSERT(absent && !*absent);
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2},
        platform.Counted("figflow_platform_calls_total{kind=\"kv.get\"}"));
  }

  void WatchesReportWritesAndDeletions() {
    PlatformFixture platform({}, clock_);
    HttpKeyValueStore& store = platform.store;
    const auto quiet = store.Watch("w/", 0, milliseconds(20));
    CPPUNIT_ASSERT(quiet && quiet->changes.empty());
    std::thread writer([&store] {
      std::this_thread::sleep_for(milliseconds(30));
      (void)store.CompareAndSwap("other", 0, "x", kHttpTimeout);
      (void)store.CompareAndSwap("w/1", 0, "x", kHttpTimeout);
    });
    const auto written =
        store.Watch("w/", quiet->revision, milliseconds(5'000));
    writer.join();
    CPPUNIT_ASSERT(written && written->changes.size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::string("w/1"), written->changes[0].key);
    const uint64_t revision = written->changes[0].versioned.revision;
    CPPUNIT_ASSERT(store.CompareAndDelete("w/1", revision, kHttpTimeout));
    const auto deleted = store.Watch("w/", written->revision, kHttpTimeout);
    CPPUNIT_ASSERT(deleted && deleted->changes.size() == 1 &&
                   deleted->changes[0].versioned.value.empty());
  }

  // Guards against keys that outlive the process they stand for.
  void LapsedLeasesDeleteTheirKeys() {
    PlatformFixture platform({}, clock_);
    HttpKeyValueStore& store = platform.store;
    const auto lease = store.GrantLease(milliseconds(150), kHttpTimeout);
    CPPUNIT_ASSERT(lease);
    const auto written =
        store.CompareAndSwap("l", 0, "x", kHttpTimeout, *lease);
    CPPUNIT_ASSERT(written);
    CPPUNIT_ASSERT(store.KeepLeaseAlive(*lease, kHttpTimeout));
    const auto gone = store.Watch("l", *written, milliseconds(3'000));
    CPPUNIT_ASSERT(gone && gone->changes.size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::string("not-found"),
                         CodeOf(store.KeepLeaseAlive(*lease, kHttpTimeout)));
    CPPUNIT_ASSERT_EQUAL(
        std::string("not-found"),
        CodeOf(store.CompareAndSwap("l", 0, "x", kHttpTimeout, *lease)));
  }

  void LimitsRateAndSize() {
    standin::StandinSettings settings;
    settings.writes_per_second = 2;
    // No tokens are added while a slow machine runs the test.
    const test::ManualClock clock;
    PlatformFixture platform(settings, clock);
    HttpKeyValueStore& store = platform.store;
    const std::string large(kMaxValueBytes, '"');
    CPPUNIT_ASSERT(store.CompareAndSwap("k", 0, large, kHttpTimeout));
    CPPUNIT_ASSERT(store.CompareAndSwap("j", 0, "x", kHttpTimeout));
    CPPUNIT_ASSERT_EQUAL(
        std::string("unavailable"),
        CodeOf(store.CompareAndSwap("i", 0, "x", kHttpTimeout)));
    CPPUNIT_ASSERT_EQUAL(
        std::string("invalid"),
        CodeOf(store.CompareAndSwap("h", 0, large + "x", kHttpTimeout)));
    CPPUNIT_ASSERT_EQUAL(
        std::string("invalid"),
        CodeOf(store.CompareAndSwap("h", 0, "\xFF", kHttpTimeout)));
    const auto stored = store.Get("k", kHttpTimeout);
    CPPUNIT_ASSERT(stored && *stored && (*stored)->value == large);
  }

  void RestoreBringsBackOldKeysUnnoticedByWatches() {
    PlatformFixture platform({}, clock_);
    HttpKeyValueStore& store = platform.store;
    const auto old = store.CompareAndSwap("k", 0, "old", kHttpTimeout);
    CPPUNIT_ASSERT_EQUAL(200, platform.Control("/standin/snapshot", ""));
    const auto changed = store.CompareAndSwap("k", *old, "new", kHttpTimeout);
    CPPUNIT_ASSERT_EQUAL(200, platform.Control("/standin/restore", ""));
    const auto stored = store.Get("k", kHttpTimeout);
    CPPUNIT_ASSERT_EQUAL(std::string("old"), (*stored)->value);
    CPPUNIT_ASSERT_EQUAL(*old, (*stored)->revision);
    const auto watched = store.Watch("k", *changed, milliseconds(10));
    CPPUNIT_ASSERT(watched && watched->changes.empty());
  }

 private:
  const SystemClock clock_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpKeyValueStoreTest);

}  // namespace
}  // namespace figflow
