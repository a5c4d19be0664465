#include "Maintenance/wave_planner.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Common/json.h"

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::minutes;

const DataCentreId kA("a");

// Instances i0, i1, ... by one letter each, two per rack:
// p pending, r reserved, d draining, b rebooting, c cancelling, D done,
// F failed. All that are not pending belong to the current wave.
WaveDocument Wave(const std::string& stages,
                  int wave,
                  int size,
                  RolloutState state = RolloutState::kRunning) {
  const std::map<char, WaveStage> letters = {
      {'p', WaveStage::kPending},    {'r', WaveStage::kReserved},
      {'d', WaveStage::kDraining},   {'b', WaveStage::kRebooting},
      {'c', WaveStage::kCancelling}, {'D', WaveStage::kDone},
      {'F', WaveStage::kFailed}};
  WaveDocument document;
  document.project = ProjectId("p");
  document.write_id = "w";
  document.rollout = "r";
  document.state = state;
  document.wave = wave;
  document.wave_size = size;
  for (size_t i = 0; i < stages.size(); ++i) {
    WaveInstance& instance =
        document.instances[InstanceId(absl::StrCat("i", i))];
    instance.data_centre = kA;
    instance.rack = RackId(absl::StrCat("r", i / 2));
    instance.stage = letters.at(stages[i]);
    instance.wave = stages[i] == 'p' ? 0 : wave;
    instance.operation = OperationId(IsInFlight(instance.stage) ? "op" : "");
  }
  return document;
}

struct StartCase {
  const char* name;
  const char* stages;
  int wave_size;
  RolloutState state;
  int max_down, down;
  int affordable;
  // Instances that begin, joined.
  const char* starts;
};

constexpr StartCase kStartCases[] = {
    {"canary", "pppp", 1, RolloutState::kRunning, 9, 0, 9, "i0"},
    {"one per rack", "pppp", 4, RolloutState::kRunning, 9, 0, 9, "i0 i2"},
    {"rack in flight", "bppp", 4, RolloutState::kRunning, 9, 1, 9, "i2"},
    {"max_down", "pppppp", 8, RolloutState::kRunning, 2, 0, 9, "i0 i2"},
    {"max_down with failures", "pppppp", 8, RolloutState::kRunning, 2, 1, 9,
     "i0"},
    {"budget", "pppppp", 8, RolloutState::kRunning, 9, 0, 1, "i0"},
    {"reserved one waits for budget", "rppppp", 8, RolloutState::kRunning, 9, 0,
     1, ""},
    {"overspent", "pppp", 4, RolloutState::kRunning, 9, 0, -1, ""},
    {"wave is full", "Dppp", 1, RolloutState::kRunning, 9, 0, 9, ""},
    {"paused", "pppp", 4, RolloutState::kPaused, 9, 0, 9, ""},
    {"halted", "pppp", 4, RolloutState::kHalted, 9, 0, 9, ""},
};

struct AdvanceCase {
  const char* name;
  const char* stages;
  int wave_size;
  RolloutState state;
  // Expected.
  RolloutState state_after;
  int size_after;
  const char* stages_after;
};

constexpr AdvanceCase kAdvanceCases[] = {
    {"canary runs", "bppp", 1, RolloutState::kRunning, RolloutState::kRunning,
     1, "bppp"},
    {"canary passed", "Dppp", 1, RolloutState::kRunning, RolloutState::kRunning,
     2, "Dppp"},
    {"canary failed", "Fppp", 1, RolloutState::kRunning, RolloutState::kHalted,
     1, "Fppp"},
    {"one failure in a wave", "FDpp", 2, RolloutState::kRunning,
     RolloutState::kRunning, 4, "FDpp"},
    {"correlated failures", "FFrdbp", 8, RolloutState::kRunning,
     RolloutState::kHalted, 8, "FFccbp"},
    {"failures while paused", "FFrdbp", 8, RolloutState::kPaused,
     RolloutState::kHalted, 8, "FFccbp"},
    {"paused", "rdbp", 4, RolloutState::kPaused, RolloutState::kPaused, 4,
     "cdbp"},
    {"wave not full", "DDDp", 8, RolloutState::kRunning, RolloutState::kRunning,
     8, "DDDp"},
    {"end", "DDFD", 8, RolloutState::kRunning, RolloutState::kFinished, 8,
     "DDFD"},
    {"not the end", "DDDc", 8, RolloutState::kRunning, RolloutState::kRunning,
     8, "DDDc"},
};

class WavePlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WavePlannerTest);
  CPPUNIT_TEST(StartsStayWithinAllLimits);
  CPPUNIT_TEST(WavesDoubleAndHalt);
  CPPUNIT_TEST(OperatorsVerbsFollowTheState);
  CPPUNIT_TEST(DocumentsRoundTripAndBadOnesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against taking more instances out than the wave, the rack, max_down
  // or the budget allows.
  void StartsStayWithinAllLimits() {
    for (const StartCase& c : kStartCases) {
      const WaveDocument document = Wave(c.stages, 2, c.wave_size, c.state);
      StartLimits limits;
      limits.worst_case = minutes(10);
      limits.budget.max_down = c.max_down;
      limits.budget.down = c.down;
      limits.budget.remaining = limits.worst_case * c.affordable;
      for (const auto& [id, instance] : document.instances) {
        limits.startable.insert(id);
      }
      std::string starts;
      for (const InstanceId& id : PlanStarts(document, kA, limits)) {
        absl::StrAppend(&starts, starts.empty() ? "" : " ", id.value());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.starts), starts);
      CPPUNIT_ASSERT(PlanStarts(document, DataCentreId("b"), limits).empty());
      limits.startable.clear();
      CPPUNIT_ASSERT(PlanStarts(document, kA, limits).empty());
    }
  }

  // Guards against going on after correlated failures, and against a wave that
  // begins before the last one has ended.
  void WavesDoubleAndHalt() {
    for (const AdvanceCase& c : kAdvanceCases) {
      WaveDocument document = Wave(c.stages, 3, c.wave_size, c.state);
      const WaveDocument expected =
          Wave(c.stages_after, 3, c.size_after, c.state_after);
      const std::string before = FormatWaveDocument(document);
      const bool changed = AdvanceRollout(document);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.name, before != FormatWaveDocument(document), changed);
      CPPUNIT_ASSERT_MESSAGE(c.name, document.state == c.state_after);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.size_after, document.wave_size);
      for (const auto& [id, instance] : document.instances) {
        CPPUNIT_ASSERT_MESSAGE(
            c.name, instance.stage == expected.instances.at(id).stage);
      }
    }
  }

  // Guards against a second roll-out over a running one, and against a halted
  // roll-out that goes on with a large wave.
  void OperatorsVerbsFollowTheState() {
    WaveDocument document;
    CPPUNIT_ASSERT(!PauseRollout(document) && !ResumeRollout(document));
    CPPUNIT_ASSERT(!StartRollout(document, "", {}));
    const std::vector<RolloutInstance> one = {
        {InstanceId("i"), kA, RackId("r")}};
    CPPUNIT_ASSERT(StartRollout(document, "r1", one).value());
    CPPUNIT_ASSERT(!StartRollout(document, "r1", {}).value());
    CPPUNIT_ASSERT(!StartRollout(document, "r2", one));
    CPPUNIT_ASSERT(PauseRollout(document).value());
    CPPUNIT_ASSERT(!PauseRollout(document).value());
    CPPUNIT_ASSERT(ResumeRollout(document).value());
    document = Wave("FFb", 4, 8, RolloutState::kHalted);
    CPPUNIT_ASSERT(!StartRollout(document, "r2", one));
    CPPUNIT_ASSERT(ResumeRollout(document).value());
    CPPUNIT_ASSERT_EQUAL(1, document.wave_size);
    CPPUNIT_ASSERT(!AdvanceRollout(document));
  }

  // Guards against losing a field in the store and against documents that were
  // not fully understood.
  void DocumentsRoundTripAndBadOnesAreRefused() {
    WaveDocument document = Wave("prdbcDF", 2, 4);
    document.holders[kA] = "e/1";
    WaveInstance& instance = document.instances[InstanceId("i3")];
    instance.boot_before = 7;
    instance.note = "note";
    instance.reserved_until = FromEpoch(minutes(5));
    const std::string text = FormatWaveDocument(document);
    CPPUNIT_ASSERT_EQUAL(text, FormatWaveDocument(*ParseWaveDocument(text)));
    const std::pair<const char*, nlohmann::json> bad[] = {
        {"/version", 9},
        {"/state", "odd"},
        {"/wave", -1},
        {"/extra", 1},
        {"/instances/1/operation", ""},
        {"/instances/1/id", "i0"},
        {"/holders/0/data_centre", ""},
    };
    for (const auto& [pointer, value] : bad) {
      nlohmann::json root = nlohmann::json::parse(text);
      root[nlohmann::json::json_pointer(pointer)] = value;
      CPPUNIT_ASSERT_MESSAGE(pointer, !ParseWaveDocument(root.dump()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WavePlannerTest);

}  // namespace
}  // namespace figflow
