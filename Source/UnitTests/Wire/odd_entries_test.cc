// Entries that another writer, a worker or a caller may send: nested without
// end, numbers outside all ranges, fields of another type.
#include <functional>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/peer_calls.h"
#include "Instances/wave_record.h"
#include "Ownership/owner_record.h"
#include "Ownership/pool_layout.h"
#include "Scheduling/job.h"
#include "Scheduling/pool_report.h"
#include "absl/strings/str_cat.h"
#include "caller_protocol.h"
#include "fleet_codec.h"

namespace figflow {
namespace {

// Fits in one value of the store.
constexpr size_t kLevels = 170'000;

std::string NestedObjects() {
  std::string text;
  for (size_t i = 0; i < kLevels; ++i) {
    text += "{\"a\":";
  }
  return text + "1" + std::string(kLevels, '}');
}

std::string NestedArrays() {
  return std::string(kLevels, '[') + std::string(kLevels, ']');
}

// CBOR: an array of one element, again and again.
std::string NestedCbor() {
  return std::string(kLevels, '\x81') + '\x00';
}

constexpr char kWorker[] =
    R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","State":"ready",)"
    R"("born":1792894133219,"Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":0},)"
    R"("Labels":["a","r1-3"],"Machine":"m-1","ClockMs":482113})";

class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(NestingDoesNotEndTheProcess);
  CPPUNIT_TEST(NestedCborDoesNotEndTheProcess);
  CPPUNIT_TEST(UnreadableDocumentsTellWhy);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against decoders that copy or read a document by recursion.
  void NestingDoesNotEndTheProcess() {
    for (const std::string& nested : {NestedObjects(), NestedArrays()}) {
      std::string worker = kWorker;
      worker.replace(worker.size() - 1, 1,
                     absl::StrCat(",\"Odd\":", nested, "}"));
      CPPUNIT_ASSERT(!wire::ParseWorker("i-1", worker));
      CPPUNIT_ASSERT(!wire::ParseWorker("i-1", nested));
      CPPUNIT_ASSERT(!wire::ParsePlan(nested));
      CPPUNIT_ASSERT(!wire::ParseWave(nested));
      FleetPlan plan;
      plan.queues.resize(1);
      plan.queues[0].host = "h";
      plan.queues[0].path_prefix = "/a/";
      const HttpRequest request{
          "POST", "/a/5c0e7a21d94b36f8", {{"Host", "h"}}, nested};
      CPPUNIT_ASSERT(!wire::ParseCall(request, plan));
    }
  }

  // Guards against records and calls of peers that end the process.
  void NestedCborDoesNotEndTheProcess() {
    const std::string nested = NestedCbor();
    CPPUNIT_ASSERT(!ParseOwnerRecord(nested));
    CPPUNIT_ASSERT(!ParseMemberRecord(nested));
    CPPUNIT_ASSERT(!ParseSequenceRecord(nested));
    CPPUNIT_ASSERT(!ParsePoolLayout(nested));
    CPPUNIT_ASSERT(!ParseAcceptedJob(nested));
    CPPUNIT_ASSERT(!ReadJobView(nested));
    CPPUNIT_ASSERT(!ParseJobSpec(nested));
    CPPUNIT_ASSERT(!ParsePoolReport(nested));
    CPPUNIT_ASSERT(!ParseWaveRecord(nested));
    CPPUNIT_ASSERT(!ParseHandOver(nested));
    CPPUNIT_ASSERT(!ParsePeerReply({200, {}, nested}));
    HttpRequest call = FormatPeerCall({});
    call.body = nested;
    CPPUNIT_ASSERT(!ParsePeerCall(call));
  }

  // Guards against an error that names a consequence in place of the reason.
  void UnreadableDocumentsTellWhy() {
    const struct {
      std::string document;
      const char* reason;
    } cases[] = {
        {R"({"Service":1e400})", "number overflow"},
        {R"({"Service":)", "unexpected end of input"},
        {NestedArrays(), "nested deeper"},
    };
    for (const auto& test : cases) {
      const Result<WorkerReport> report =
          wire::ParseWorker("i-1", test.document);
      CPPUNIT_ASSERT(!report);
      CPPUNIT_ASSERT_MESSAGE(
          report.error().message,
          report.error().message.find(test.reason) != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

}  // namespace
}  // namespace figflow
