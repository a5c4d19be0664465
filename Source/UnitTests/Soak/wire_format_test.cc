// The soak's side of the wire against the product's decoders.
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Soak/wire_format.h"
#include "StandIns/Fleet/model_fleet.h"
#include "caller_protocol.h"
#include "fleet_codec.h"
#include "http_call.h"
#include "wire_json.h"

namespace figflow::soak {
namespace {

using std::chrono::milliseconds;

class WireFormatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WireFormatTest);
  CPPUNIT_TEST(PlanAndJobAreRead);
  CPPUNIT_TEST(WorkerIsRead);
  CPPUNIT_TEST(WaveIsRead);
  CPPUNIT_TEST(TransactionIsRead);
  CPPUNIT_TEST(QueryIsDecoded);
  CPPUNIT_TEST(TaskNamesAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PlanAndJobAreRead() {
    const auto plan = wire::ParsePlan(FormatPlan(model::SimplePlan(2)));
    CPPUNIT_ASSERT(plan.has_value());
    CPPUNIT_ASSERT_EQUAL(size_t{2}, plan->queues.size());
    JobSpec spec = model::SimpleJob("00aa", "q1", 2, 3, 500);
    spec.payload = "text";
    spec.stages[1].gang = true;
    const auto call = wire::ParseCall(
        {"POST", "/q1/00aa", {{"Host", "127.0.0.1:23000"}}, FormatJob(spec)},
        *plan);
    CPPUNIT_ASSERT(call.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), call->pool);
    // The queue's attempts go with the job.
    spec.max_attempts = plan->queues[1].max_attempts;
    CPPUNIT_ASSERT(spec.max_attempts > 0);
    CPPUNIT_ASSERT(FormatJobSpec(spec) == FormatJobSpec(call->spec));
  }

  void WorkerIsRead() {
    WorkerReport report;
    report.key = {"w3", 1003};
    report.pool = "p0";
    report.address = "127.0.0.1:1";
    report.instance = "m3";
    report.capacity = {4'000, 100, 0};
    report.draining = true;
    const auto read = wire::ParseWorker("w3", FormatWorker(report));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read->key == report.key);
    CPPUNIT_ASSERT_EQUAL(report.instance, read->instance);
    CPPUNIT_ASSERT(read->capacity == report.capacity);
    CPPUNIT_ASSERT(read->draining);
  }

  void WaveIsRead() {
    const auto wave =
        wire::ParseWave(FormatWave({4, {"m1"}, milliseconds(1'500), 2}));
    CPPUNIT_ASSERT(wave.has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{4}, wave->number);
    CPPUNIT_ASSERT(wave->complete_within == milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(2, wave->max_down);
  }

  void TransactionIsRead() {
    const Transaction transaction = ParseTransaction(
        wire::ReadOrNull(R"({"ExpectedRev":[{"Key":"a","Revision":0}],)"
                         R"("Puts":[{"Key":"a","Value":"dGV4dA==","Lease":7}],)"
                         R"("Remove":["b"]})"));
    CPPUNIT_ASSERT_EQUAL(uint64_t{0}, transaction.expected.at(0).second);
    CPPUNIT_ASSERT_EQUAL(std::string("text"), transaction.writes.at(0).value);
    CPPUNIT_ASSERT_EQUAL(LeaseId{7}, transaction.writes.at(0).lease);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), transaction.removals.at(0));
  }

  void QueryIsDecoded() {
    const std::string key = "figflow/jobs/p 0/a&b=c~";
    const std::string target =
        "/-/kv-range?Prefix=" + wire::QueryEscape(key) + "&After=";
    CPPUNIT_ASSERT_EQUAL(key, QueryValue(target, "Prefix"));
    CPPUNIT_ASSERT_EQUAL(std::string(), QueryValue(target, "After"));
    CPPUNIT_ASSERT_EQUAL(std::string(), QueryValue(target, "WaitMs"));
  }

  void TaskNamesAreChecked() {
    TaskName task;
    CPPUNIT_ASSERT(ParseTask("00aa.1.2.3", &task));
    CPPUNIT_ASSERT(task == (TaskName{"00aa", 1, 2, 3}));
    CPPUNIT_ASSERT(!ParseTask("00aa.1.2", &task));
    CPPUNIT_ASSERT(!ParseTask("00aa.1.x.3", &task));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WireFormatTest);

}  // namespace
}  // namespace figflow::soak
