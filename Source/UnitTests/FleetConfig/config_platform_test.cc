#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "FleetConfig/config_fixture.h"
#include "Platform/platform_fixture.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::Daemon;
using test::PlatformFixture;
using test::Sheet;

class ConfigPlatformTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigPlatformTest);
  CPPUNIT_TEST(AppliesThroughFaultsOfThePlatform);
  CPPUNIT_TEST(HealsARestoredPlatform);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against an error code that differs between the HTTP client and the
  // fake store, for which the apply would be reported wrongly.
  void AppliesThroughFaultsOfThePlatform() {
    struct Case {
      const char* fault;
      const char* outcome;
    };
    for (const Case& c : {Case{R"({"lose_answers":1})", "ok:1"},
                          Case{R"({"lose_requests":1})", "ok:1"},
                          Case{R"({"lose_requests":1000})", "unknown-outcome"},
                          Case{R"({"down":true})", "unavailable"},
                          Case{R"({"unreachable":true})", "unavailable"}}) {
      PlatformFixture platform({}, clock_);
      Daemon daemon(platform.store);
      platform.Control("/standin/fault", c.fault);
      const SheetDocument sheet = Sheet(0, {{"a", 1}});
      const MonoTime begun = clock_.Now();
      const std::string outcome = daemon.Apply(sheet, "id", milliseconds(400));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          absl::StrCat(c.fault, ": ", daemon.message, " after ",
                       WholeMilliseconds(clock_.Now() - begun).count(), " ms"),
          std::string(c.outcome), outcome);
      platform.Control("/standin/fault", R"({"reset":true})");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.fault, std::string("ok:1"),
                                   daemon.Apply(sheet, "id"));
    }
  }

  void HealsARestoredPlatform() {
    PlatformFixture platform({}, clock_);
    ConfigStoreOptions options;
    options.watch_wait = milliseconds(50);
    options.check_interval = milliseconds(100);
    Daemon one(platform.store, options);
    Daemon two(platform.store, options);
    CPPUNIT_ASSERT_EQUAL(std::string("ok:1"),
                         one.Apply(Sheet(0, {{"a", 1}}), "id1"));
    platform.Control("/standin/snapshot", "");
    CPPUNIT_ASSERT_EQUAL(std::string("ok:2"),
                         one.Apply(Sheet(1, {{"a", 2}}), "id2"));
    two.config.Start();
    WaitUntil([&] { return two.revision() == 2; });
    platform.Control("/standin/restore", "");
    WaitUntil([&] {
      const auto head = platform.store.Get(kHeadKey, test::kTimeout);
      return head && *head && DecodeHead((*head)->value)->revision == 2;
    });
    CPPUNIT_ASSERT_EQUAL(2, two.Instances("a"));
    two.config.Stop();
  }

 private:
  void WaitUntil(const std::function<bool()>& reached) {
    const MonoTime deadline = clock_.Now() + std::chrono::seconds(10);
    while (!reached()) {
      CPPUNIT_ASSERT(clock_.Now() < deadline);
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  const SystemClock clock_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigPlatformTest);

}  // namespace
}  // namespace figflow
