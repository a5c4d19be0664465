// How pools are split into parts.
#include <map>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/json.h"

#include "Common/cbor.h"
#include "Ownership/pool_layout.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

const std::vector<std::string> kPools = {"p", "q", "r", "s"};

class PoolLayoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolLayoutTest);
  CPPUNIT_TEST(SmallFleetsAreNotSplit);
  CPPUNIT_TEST(PartsGrowWithTheFleet);
  CPPUNIT_TEST(PartsAreEven);
  CPPUNIT_TEST(PerpetualJobsOfAPoolShareAPart);
  CPPUNIT_TEST(LayoutOfAnEarlierVersionKeepsItsScopes);
  CPPUNIT_TEST(InstanceKeepsItsPartInEachPool);
  CPPUNIT_TEST(RecordSurvivesAndGarbageIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleetsAreNotSplit() {
    const PoolLayout layout = LayoutFor(49, kPools);
    CPPUNIT_ASSERT_EQUAL(1, layout.parts);
    CPPUNIT_ASSERT_EQUAL(std::string("p"),
                         layout.ScopeOfJob("p", "job", false));
    CPPUNIT_ASSERT_EQUAL(std::string("p"), layout.ScopeOfJob("p", "job", true));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, layout.ScopesOfJob("p", "job").size());
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), layout.PoolOf("a/b"));
    CPPUNIT_ASSERT_EQUAL(1, LayoutFor(0, {}).parts);
  }

  // Guards against one owner for a pool that it cannot carry.
  void PartsGrowWithTheFleet() {
    CPPUNIT_ASSERT_EQUAL(3, LayoutFor(350, kPools).parts);
    CPPUNIT_ASSERT_EQUAL(
        1, LayoutFor(3'500, std::vector<std::string>(194, "p")).parts);
    CPPUNIT_ASSERT(LayoutFor(1'000'000, {"p"}).parts <= 64);
  }

  void PartsAreEven() {
    const PoolLayout layout = LayoutFor(350, kPools);
    std::map<std::string, int> jobs;
    for (int i = 0; i < 3'000; ++i) {
      ++jobs[layout.ScopeOfJob("p", absl::StrCat("job", i), false)];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, jobs.size());
    for (const auto& [scope, count] : jobs) {
      CPPUNIT_ASSERT_EQUAL(std::string("p"), layout.PoolOf(scope));
      CPPUNIT_ASSERT(count > 900 && count < 1'100);
    }
  }

  // Guards against pools whose perpetual jobs keep workers in several parts, or
  // all in the same one.
  void PerpetualJobsOfAPoolShareAPart() {
    const PoolLayout layout = LayoutFor(350, kPools);
    std::map<std::string, int> pools_in;
    for (const std::string& pool : kPools) {
      std::set<std::string> scopes;
      for (int i = 0; i < 20; ++i) {
        const std::string job = absl::StrCat("job", i);
        const std::string scope = layout.ScopeOfJob(pool, job, true);
        scopes.insert(scope);
        const std::vector<std::string> held = layout.ScopesOfJob(pool, job);
        CPPUNIT_ASSERT_EQUAL(layout.ScopeOfJob(pool, job, false), held.front());
        CPPUNIT_ASSERT_EQUAL(scope, held.back());
      }
      CPPUNIT_ASSERT_EQUAL(size_t{1}, scopes.size());
      ++pools_in[scopes.begin()->substr(1)];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, pools_in.size());
  }

  // Guards against jobs of a fleet that was upgraded and cannot be found.
  void LayoutOfAnEarlierVersionKeepsItsScopes() {
    const Result<PoolLayout> layout =
        ParsePoolLayout(FormatCbor(nlohmann::json::array({3})));
    CPPUNIT_ASSERT(layout.has_value());
    CPPUNIT_ASSERT_EQUAL(layout->ScopeOfJob("p", "job", false),
                         layout->ScopeOfJob("p", "job", true));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, layout->ScopesOfJob("p", "job").size());
  }

  // Guards against moves that would help another part than the one in need.
  void InstanceKeepsItsPartInEachPool() {
    const PoolLayout layout = LayoutFor(350, kPools);
    const int part = layout.PartOfInstance("i1");
    CPPUNIT_ASSERT_EQUAL(layout.Scope("p", part),
                         layout.ScopeOfInstance("p", "i1"));
    CPPUNIT_ASSERT_EQUAL(layout.Scope("q", part),
                         layout.ScopeOfInstance("q", "i1"));
  }

  void RecordSurvivesAndGarbageIsRefused() {
    const Result<PoolLayout> layout =
        ParsePoolLayout(FormatPoolLayout(LayoutFor(350, kPools)));
    CPPUNIT_ASSERT(layout.has_value());
    CPPUNIT_ASSERT_EQUAL(3, layout->parts);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, layout->perpetual_parts.size());
    CPPUNIT_ASSERT_EQUAL(2, layout->perpetual_parts.at("r"));
    CPPUNIT_ASSERT(!ParsePoolLayout("").has_value());
    CPPUNIT_ASSERT(
        !ParsePoolLayout(FormatPoolLayout({3, {{"p", 3}}})).has_value());
    CPPUNIT_ASSERT(!ParsePoolLayout(FormatPoolLayout({0, {}})).has_value());
    CPPUNIT_ASSERT(!ParsePoolLayout(FormatPoolLayout({1'000, {}})).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolLayoutTest);

}  // namespace
}  // namespace figflow
