// All decoders on inputs that a seeded generator derives from valid ones. The
// sanitizer builds show what a decoder does wrong without failing.
#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Fleet/peer_calls.h"
#include "Instances/wave_record.h"
#include "Ownership/owner_record.h"
#include "Ownership/pool_layout.h"
#include "Scheduling/job.h"
#include "Scheduling/pool_report.h"
#include "Settings/settings.h"
#include "Sheet/sheet_parser.h"
#include "absl/strings/str_cat.h"
#include "caller_protocol.h"
#include "fleet_codec.h"

namespace figflow {
namespace {

constexpr int kInputsOfASeed = 400;

// Derives an input from a valid one: cut off, bytes changed, parts repeated or
// removed, tokens replaced by others of another type or size.
class InputGenerator {
 public:
  explicit InputGenerator(uint64_t seed) : random_(seed) {}

  std::string Derive(const std::string& valid) {
    std::string input = valid;
    for (size_t i = Below(4) + 1; i > 0 && !input.empty(); --i) {
      Change(&input);
    }
    return input;
  }

 private:
  size_t Below(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(random_);
  }

  void Change(std::string* input) {
    static const std::string deep(20'000, '[');
    static const std::vector<std::string> tokens = {
        "null",
        "{}",
        "[]",
        "\"\"",
        "-1",
        "1e308",
        "4294967296",
        "true",
        "\"\xff",
        "[[[",
        "9999999999",
        "1e-320",
        "-2147483649",
        "1e400",
        "18446744073709551615",
        "-9223372036854775808",
        "1.5",
        deep,
        std::string(20'000, '\x81')};
    const size_t at = Below(input->size());
    const size_t length = std::min(input->size() - at, Below(24) + 1);
    switch (Below(6)) {
      case 0:
        input->resize(at);
        return;
      case 1:
        (*input)[at] = static_cast<char>(Below(256));
        return;
      case 2:
        input->erase(at, length);
        return;
      case 3:
        input->insert(at, input->substr(at, length));
        return;
      case 4:
        input->replace(at, length, tokens[Below(tokens.size())]);
        return;
      default:
        ReplaceNumber(at, tokens[Below(tokens.size())], input);
        return;
    }
  }

  // Replaces the first number from `at` on.
  static void ReplaceNumber(size_t at,
                            const std::string& token,
                            std::string* input) {
    const size_t begin = input->find_first_of("0123456789", at);
    if (begin == std::string::npos) {
      return;
    }
    const size_t end = input->find_first_not_of("0123456789.", begin);
    input->replace(begin, std::min(end, input->size()) - begin, token);
  }

  std::mt19937_64 random_;
};

struct Decoder {
  const char* name;
  std::string valid;
  // Decodes; returns whether the input was accepted.
  std::function<bool(const std::string&)> decode;
};

constexpr char kValidPlan[] =
    R"({"Version":7,"Routes":[{"Name":"short","Host":"h.example",)"
    R"("Prefix":"/a/","Service":"s","MaxAttempts":2,"Stretch":1.6,)"
    R"("TargetDurationMs":600,"Priority":1,"Advice":{"DecideMs":5,)"
    R"("PeriodMs":2,"ValidMs":3000}}],"Services":[{"Name":"s",)"
    R"("RejectsOverload":true},{"Name":"spare","Spare":true}],"Limits":{}})";
constexpr char kValidWorker[] =
    R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1",)"
    R"("Slots":8,"State":"ready","Sequence":1,"born":1792894133219,)"
    R"("Capacity":{"Cpu":64000,"MemMb":262144,"Gpu":0},)"
    R"("Labels":["a","r1-3"],"Machine":"m-1","ClockMs":482113})";
constexpr char kValidWave[] =
    R"({"Wave":3,"Machines":["m-1","m-2"],"CompleteByS":20.5,"Cap":2})";
constexpr char kValidJob[] =
    R"({"Spec":"[text]","Steps":[{"Count":4,"Cpu":500,"MemMb":256,)"
    R"("EstimateMs":900,"Affinity":"r1-3"},{"Count":20,"Cpu":2000,)"
    R"("MemMb":1024,"EstimateMs":7000,"After":[0],"SavesProgress":true,)"
    R"("MayMiss":0,"Perpetual":true,"Fills":true,"TargetMs":40}]})";
constexpr char kValidSettings[] =
    R"({"entry":"e1","data_centre":"suva","listen":{"callers":)"
    R"("127.0.0.1:8080","admin":"127.0.0.1:8081","peers":"[::1]:8082"},)"
    R"("peers":{"seeds":["127.0.0.1:9000"],"credential":)"
    R"("peer-credential-01"},"admin":{"credential":)"
    R"("operator-credential-01"},"platform":{"address":"127.0.0.1:19000"}})";
constexpr char kValidSheet[] =
    "project,pool,data_centre,wanted\nrice,web,suva,3\n\"a \"\"b\"\"\",x,y,2\n";

Job SomeJob() {
  JobSpec spec;
  spec.id = "j";
  spec.queue = "q";
  spec.stages.resize(2);
  spec.stages[0].count = 3;
  spec.stages[1].after = {0};
  Job job;
  job.SetSpec(spec);
  job.spec_bytes = FormatJobSpec(spec);
  job.OpenOccurrence(0, MonoTime());
  return job;
}

PoolReport SomeReport() {
  PoolReport report;
  report.pool = "p";
  report.workers.resize(3);
  report.workers[0].worker = "w";
  report.workers[0].capacity_millicores = 64'000;
  return report;
}

HttpRequest CallerRequest(const std::string& body) {
  return {"POST",
          "/a/5c0e7a21d94b36f8",
          {{"Host", "h.example"}, {"Deadline-Ms", "1200"}},
          body};
}

std::vector<Decoder> Decoders() {
  const auto plan = std::make_shared<FleetPlan>(*wire::ParsePlan(kValidPlan));
  PeerCall call;
  call.call.kind = CallKind::kSubmit;
  call.call.queue = "q";
  call.spec_bytes = FormatJobSpec(SomeJob().spec);
  CallerReply reply;
  reply.reason = "why";
  WaveRecord wave;
  wave.instances = {{"m-1", MaintenanceStep::kDown}};
  HandOverRecord hand_over;
  hand_over.recently_ordered = {{"m-1", std::chrono::milliseconds(700)},
                                {"m-2", std::chrono::milliseconds(3'000)}};
  return {
      {"plan", kValidPlan,
       [](const std::string& in) { return wire::ParsePlan(in).has_value(); }},
      {"worker", kValidWorker,
       [](const std::string& in) {
         return wire::ParseWorker("i-1", in).has_value();
       }},
      {"wave", kValidWave,
       [](const std::string& in) { return wire::ParseWave(in).has_value(); }},
      {"job of a caller", kValidJob,
       [plan](const std::string& in) {
         return wire::ParseCall(CallerRequest(in), *plan).has_value();
       }},
      {"settings", kValidSettings,
       [](const std::string& in) { return ParseSettings(in).has_value(); }},
      {"sheet", kValidSheet,
       [](const std::string& in) { return ParseSheet(in).ok(); }},
      {"job record", FormatAcceptedJob(SomeJob()),
       [](const std::string& in) { return ParseAcceptedJob(in).has_value(); }},
      {"job view", FormatAcceptedJob(SomeJob()),
       [](const std::string& in) { return ReadJobView(in).has_value(); }},
      {"job specification", FormatJobSpec(SomeJob().spec),
       [](const std::string& in) { return ParseJobSpec(in).has_value(); }},
      {"pool report", FormatPoolReport(SomeReport()),
       [](const std::string& in) { return ParsePoolReport(in).has_value(); }},
      {"owner", FormatOwnerRecord({"e", "10.0.0.1:80", "n"}),
       [](const std::string& in) { return ParseOwnerRecord(in).has_value(); }},
      {"pool layout", FormatPoolLayout({3, {{"p", 2}}}),
       [](const std::string& in) { return ParsePoolLayout(in).has_value(); }},
      {"member", FormatMemberRecord({"e", "10.0.0.1:80", 500}),
       [](const std::string& in) { return ParseMemberRecord(in).has_value(); }},
      {"sequence", FormatSequenceRecord({"n", 7}),
       [](const std::string& in) {
         return ParseSequenceRecord(in).has_value();
       }},
      {"wave record", FormatWaveRecord(wave),
       [](const std::string& in) { return ParseWaveRecord(in).has_value(); }},
      {"hand-over", FormatHandOverRecord(hand_over),
       [](const std::string& in) {
         return ParseHandOverRecord(in).has_value();
       }},
      {"peer call", FormatPeerCall(call).body,
       [call](const std::string& in) {
         HttpRequest request = FormatPeerCall(call);
         request.body = in;
         return ParsePeerCall(request).has_value();
       }},
      {"peer reply", FormatPeerResponse(reply).body,
       [](const std::string& in) {
         return ParsePeerResponse({200, {}, in}).has_value();
       }},
      {"pool question",
       FormatPoolSyncRequest({"p", {{"a"}, {{"b", 1}}, {"c"}, {"d"}}}).body,
       [](const std::string& in) {
         HttpRequest request = FormatPoolSyncRequest({"p", {}});
         request.body = in;
         return ParsePoolSyncRequest(request).has_value();
       }},
  };
}

class DecoderFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecoderFuzzTest);
  CPPUNIT_TEST(ValidInputsAreAccepted);
  CPPUNIT_TEST(NoInputBreaksADecoder);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Without it the generator might start from inputs that are refused at once.
  void ValidInputsAreAccepted() {
    for (const Decoder& decoder : Decoders()) {
      const bool sheet = std::string(decoder.name) == "sheet";
      CPPUNIT_ASSERT_MESSAGE(decoder.name,
                             sheet || decoder.decode(decoder.valid));
    }
  }

  // Guards against decoders that throw, loop, or read beyond their input when
  // the store, a worker, a caller or a peer sends garbage.
  void NoInputBreaksADecoder() {
    for (const Decoder& decoder : Decoders()) {
      for (const uint64_t seed : {1, 2, 3, 4, 5}) {
        InputGenerator generator(seed);
        for (int i = 0; i < kInputsOfASeed; ++i) {
          const std::string input = generator.Derive(decoder.valid);
          const std::string what =
              absl::StrCat(decoder.name, ", seed ", seed, ", input ", i);
          CPPUNIT_ASSERT_NO_THROW_MESSAGE(what, decoder.decode(input));
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecoderFuzzTest);

}  // namespace
}  // namespace figflow
