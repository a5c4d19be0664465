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

constexpr char kPlainWorker[] =
    R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","State":"ready",)"
    R"("born":1792894133219,"Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":0},)"
    R"("Labels":["a","r1-3"],"Machine":"m-1","ClockMs":482113})";

class OddEntriesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OddEntriesTest);
  CPPUNIT_TEST(NestingDoesNotEndTheProcess);
  CPPUNIT_TEST(NestedCborDoesNotEndTheProcess);
  CPPUNIT_TEST(UnreadableDocumentsTellWhy);
  CPPUNIT_TEST(NumbersOutsideTheirRangeAreRefused);
  CPPUNIT_TEST(AddressesThatCannotBeCalledAreRefused);
  CPPUNIT_TEST(OddNumbersOfCallersAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against decoders that copy or read a document by recursion.
  void NestingDoesNotEndTheProcess() {
    for (const std::string& nested : {NestedObjects(), NestedArrays()}) {
      std::string worker = kPlainWorker;
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
    CPPUNIT_ASSERT(!ParseHandOverRecord(nested));
    CPPUNIT_ASSERT(!ParsePeerResponse({200, {}, nested}));
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

  // Guards against capacities and times that overflow where they are added up.
  void NumbersOutsideTheirRangeAreRefused() {
    CPPUNIT_ASSERT(wire::ParseWorker("i-1", kPlainWorker));
    const std::pair<const char*, const char*> fields[] = {
        {"\"Cpu\":", "64000"},
        {"\"MemMb\":", "262144"},
        {"\"Gpu\":", "0"},
        {"\"born\":", "1792894133219"},
        {"\"ClockMs\":", "482113"}};
    for (const auto& [field, valid] : fields) {
      for (const char* odd :
           {"1e300", "99999999999999999999999", "18446744073709551615",
            "9223372036854775807", "-5", "-9223372036854775808", "1.5", "\"7\"",
            "true", "[1]"}) {
        std::string worker = kPlainWorker;
        const size_t at = worker.find(field);
        const size_t length = std::string(field).size();
        worker.replace(at + length, std::string(valid).size(), odd);
        CPPUNIT_ASSERT_MESSAGE(worker, !wire::ParseWorker("i-1", worker));
      }
    }
    std::string draining = kPlainWorker;
    draining.replace(draining.find("\"ready\""), 7,
                     R"("draining","RemainingMs":1e300)");
    CPPUNIT_ASSERT(!wire::ParseWorker("i-1", draining));
    CPPUNIT_ASSERT(
        !wire::ParseWave(R"({"Wave":1,"Machines":[],"CompleteByS":1e300,)"
                         R"("Cap":1})"));
    CPPUNIT_ASSERT(
        !wire::ParseWave(R"({"Wave":1,"Machines":[],"CompleteByS":9,)"
                         R"("Cap":99999999999})"));
  }

  // Guards against workers that count as capacity and can never be ordered.
  void AddressesThatCannotBeCalledAreRefused() {
    for (const char* address : {"10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1", "",
                                "x:y:z", "host:80", "10.0.0.1:80 "}) {
      std::string worker = kPlainWorker;
      worker.replace(worker.find("10.0.0.9:80"), 11, address);
      CPPUNIT_ASSERT_MESSAGE(worker, !wire::ParseWorker("i-1", worker));
    }
  }

  // Guards against jobs whose times overflow in the plans made with them.
  void OddNumbersOfCallersAreRefused() {
    FleetPlan plan;
    plan.queues.resize(1);
    plan.queues[0].host = "h";
    plan.queues[0].path_prefix = "/a/";
    const auto parse = [&](const std::string& step, const std::string& rest) {
      return wire::ParseCall(
          {"POST",
           "/a/5c0e7a21d94b36f8",
           {{"Host", "h"}},
           absl::StrCat(R"({"Steps":[{"Count":4,)", step, "}]", rest, "}")},
          plan);
    };
    CPPUNIT_ASSERT(parse(R"("Cpu":500,"EstimateMs":900.5)", ""));
    for (const char* odd : {"1e300", "-1", "9223372036854775807", "\"7\""}) {
      for (const char* field :
           {"Cpu", "MemMb", "Gpu", "EstimateMs", "TargetMs", "MaxPerServer"}) {
        CPPUNIT_ASSERT_MESSAGE(
            field, !parse(absl::StrCat("\"", field, "\":", odd), ""));
      }
      for (const char* field : {"StartTimeMs", "IntervalMs", "Repeats"}) {
        CPPUNIT_ASSERT_MESSAGE(
            field,
            !parse(R"("Cpu":500)", absl::StrCat(",\"", field, "\":", odd)));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

}  // namespace
}  // namespace figflow
