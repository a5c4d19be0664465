// Tests how many further workers large tasks need.
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/cbor.h"
#include "Common/json.h"
#include "Scheduling/further_workers.h"
#include "Scheduling/pool_report.h"

namespace figflow {
namespace {

using nlohmann::json;

const Resources kWhole = {64'000, 128'000, 0};
const Resources kLarge = {52'500, 1'000, 0};

class LargeTaskDemandTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeTaskDemandTest);
  CPPUNIT_TEST(FreeWorkersAreUsedFirst);
  CPPUNIT_TEST(SmallerTasksShareAWorkerUpToTheirLimit);
  CPPUNIT_TEST(RequestIsBounded);
  CPPUNIT_TEST(ReportOfEarlierVersionIsRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a request for each report until the tasks have run: workers
  // that have arrived count.
  void FreeWorkersAreUsedFirst() {
    CPPUNIT_ASSERT_EQUAL(
        2, CountFurtherWorkers({{kLarge, 3, 0, {}}},
                               {{30'000, 128'000, 0}, kWhole}, kWhole));
  }

  // Guards against one worker for each task where several share one, and
  // against too few where a limit forbids that.
  void SmallerTasksShareAWorkerUpToTheirLimit() {
    const LargeTasks halves{{30'000, 1'000, 0}, 4, 0, {}};
    CPPUNIT_ASSERT_EQUAL(2, CountFurtherWorkers({halves}, {}, kWhole));
    LargeTasks limited = halves;
    limited.max_per_worker = 1;
    limited.on_worker = {1};
    CPPUNIT_ASSERT_EQUAL(4, CountFurtherWorkers({limited}, {kWhole}, kWhole));
  }

  // Guards against one job that takes all spare instances at once, and against
  // requests for tasks that fit no instance.
  void RequestIsBounded() {
    CPPUNIT_ASSERT_EQUAL(
        8, CountFurtherWorkers({{kLarge, 1'000, 0, {}}}, {}, kWhole));
    CPPUNIT_ASSERT_EQUAL(
        0, CountFurtherWorkers({{{64'001, 1, 0}, 5, 0, {}}}, {}, kWhole));
    CPPUNIT_ASSERT_EQUAL(
        0, CountFurtherWorkers({{kLarge, 1, 0, {}}}, {}, UsualCapacity({})));
  }

  // Guards against a controller that drops the reports of owners of the earlier
  // version, and the other way round.
  void ReportOfEarlierVersionIsRead() {
    PoolReport report;
    report.pool = "p";
    report.further_workers = 3;
    const std::string bytes = FormatPoolReport(report);
    CPPUNIT_ASSERT_EQUAL(3, ParsePoolReport(bytes)->further_workers);
    json row = json::from_cbor(bytes);
    row.erase(row.begin() + 9, row.end());
    const Result<PoolReport> earlier = ParsePoolReport(FormatCbor(row));
    CPPUNIT_ASSERT(earlier.has_value());
    CPPUNIT_ASSERT_EQUAL(0, earlier->further_workers);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeTaskDemandTest);

}  // namespace
}  // namespace figflow
