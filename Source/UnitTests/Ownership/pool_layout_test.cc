// Tests how pools are split into partitions.
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
  CPPUNIT_TEST(SmallFleetsAreNotPartitioned);
  CPPUNIT_TEST(PartitionsGrowWithFleet);
  CPPUNIT_TEST(JobsAreDistributedEvenly);
  CPPUNIT_TEST(PerpetualJobsOfPoolShareOnePartition);
  CPPUNIT_TEST(LayoutWithoutPerpetualPartitionsKeepsScopes);
  CPPUNIT_TEST(InstanceKeepsPartitionInEachPool);
  CPPUNIT_TEST(RecordRoundTripsAndMalformedInputIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SmallFleetsAreNotPartitioned() {
    const PoolLayout layout = MakePoolLayout(49, kPools);
    CPPUNIT_ASSERT_EQUAL(1, layout.partitions);
    CPPUNIT_ASSERT_EQUAL(std::string("p"),
                         layout.ScopeOfJob("p", "job", false));
    CPPUNIT_ASSERT_EQUAL(std::string("p"), layout.ScopeOfJob("p", "job", true));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, layout.ScopesOfJob("p", "job").size());
    CPPUNIT_ASSERT_EQUAL(std::string("a/b"), layout.PoolOf("a/b"));
    CPPUNIT_ASSERT_EQUAL(1, MakePoolLayout(0, {}).partitions);
  }

  // Guards against one owner for a pool that exceeds its capacity.
  void PartitionsGrowWithFleet() {
    CPPUNIT_ASSERT_EQUAL(3, MakePoolLayout(350, kPools).partitions);
    CPPUNIT_ASSERT_EQUAL(
        1,
        MakePoolLayout(3'500, std::vector<std::string>(194, "p")).partitions);
    CPPUNIT_ASSERT(MakePoolLayout(1'000'000, {"p"}).partitions <= 64);
  }

  void JobsAreDistributedEvenly() {
    const PoolLayout layout = MakePoolLayout(350, kPools);
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

  // Guards against pools whose perpetual jobs occupy workers in several
  // partitions, or all in the same one.
  void PerpetualJobsOfPoolShareOnePartition() {
    const PoolLayout layout = MakePoolLayout(350, kPools);
    std::map<std::string, int> pools_by_partition;
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
      ++pools_by_partition[scopes.begin()->substr(1)];
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, pools_by_partition.size());
  }

  // Guards against jobs that can't be found after an upgrade of the fleet.
  void LayoutWithoutPerpetualPartitionsKeepsScopes() {
    const Result<PoolLayout> layout =
        ParsePoolLayout(FormatCbor(nlohmann::json::array({3})));
    CPPUNIT_ASSERT(layout.has_value());
    CPPUNIT_ASSERT_EQUAL(layout->ScopeOfJob("p", "job", false),
                         layout->ScopeOfJob("p", "job", true));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, layout->ScopesOfJob("p", "job").size());
  }

  // Guards against moves to a partition other than the one that needs
  // instances.
  void InstanceKeepsPartitionInEachPool() {
    const PoolLayout layout = MakePoolLayout(350, kPools);
    const int partition = layout.PartitionOfInstance("i1");
    CPPUNIT_ASSERT_EQUAL(layout.ScopeOfPartition("p", partition),
                         layout.ScopeOfInstance("p", "i1"));
    CPPUNIT_ASSERT_EQUAL(layout.ScopeOfPartition("q", partition),
                         layout.ScopeOfInstance("q", "i1"));
  }

  void RecordRoundTripsAndMalformedInputIsRejected() {
    const Result<PoolLayout> layout =
        ParsePoolLayout(FormatPoolLayout(MakePoolLayout(350, kPools)));
    CPPUNIT_ASSERT(layout.has_value());
    CPPUNIT_ASSERT_EQUAL(3, layout->partitions);
    CPPUNIT_ASSERT_EQUAL(size_t{4}, layout->perpetual_partitions.size());
    CPPUNIT_ASSERT_EQUAL(2, layout->perpetual_partitions.at("r"));
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
