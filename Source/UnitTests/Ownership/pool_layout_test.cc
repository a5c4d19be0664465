// How pools are split into parts.
#include <map>
#include <set>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Ownership/pool_layout.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

class PoolLayoutTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolLayoutTest);
  CPPUNIT_TEST(SmallFleetsAreNotSplit);
  CPPUNIT_TEST(PartsGrowWithTheFleet);
  CPPUNIT_TEST(PartsAreEven);
  CPPUNIT_TEST(InstanceKeepsItsPartInEachPool);
  CPPUNIT_TEST(RecordSurvivesAndGarbageIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleetsAreNotSplit() {
    const PoolLayout layout = LayoutFor(49, 4);
    CPPUNIT_ASSERT_EQUAL(1, layout.parts);
    CPPUNIT_ASSERT_EQUAL(std::string("p"), layout.ScopeOfJob("p", "job"));
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), layout.PoolOf("a/b"));
    CPPUNIT_ASSERT_EQUAL(1, LayoutFor(0, 0).parts);
  }

  // Guards against one owner for a pool that it cannot carry.
  void PartsGrowWithTheFleet() {
    CPPUNIT_ASSERT_EQUAL(3, LayoutFor(350, 4).parts);
    CPPUNIT_ASSERT_EQUAL(1, LayoutFor(3'500, 194).parts);
    CPPUNIT_ASSERT(LayoutFor(1'000'000, 1).parts <= 64);
  }

  void PartsAreEven() {
    const PoolLayout layout = LayoutFor(350, 4);
    std::map<std::string, int> jobs;
    for (int i = 0; i < 3'000; ++i) {
      ++jobs[layout.ScopeOfJob("p", absl::StrCat("job", i))];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, jobs.size());
    for (const auto& [scope, count] : jobs) {
      CPPUNIT_ASSERT_EQUAL(std::string("p"), layout.PoolOf(scope));
      CPPUNIT_ASSERT(count > 900 && count < 1'100);
    }
  }

  // Guards against moves that would help another part than the one in need.
  void InstanceKeepsItsPartInEachPool() {
    const PoolLayout layout = LayoutFor(350, 4);
    const int part = layout.PartOfInstance("i1");
    CPPUNIT_ASSERT_EQUAL(layout.Scope("p", part),
                         layout.ScopeOfInstance("p", "i1"));
    CPPUNIT_ASSERT_EQUAL(layout.Scope("q", part),
                         layout.ScopeOfInstance("q", "i1"));
  }

  void RecordSurvivesAndGarbageIsRefused() {
    const Result<PoolLayout> layout =
        ParsePoolLayout(FormatPoolLayout(LayoutFor(350, 4)));
    CPPUNIT_ASSERT(layout.has_value());
    CPPUNIT_ASSERT_EQUAL(3, layout->parts);
    CPPUNIT_ASSERT(!ParsePoolLayout("").has_value());
    CPPUNIT_ASSERT(!ParsePoolLayout(FormatPoolLayout({0})).has_value());
    CPPUNIT_ASSERT(!ParsePoolLayout(FormatPoolLayout({1'000})).has_value());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolLayoutTest);

}  // namespace
}  // namespace figflow
