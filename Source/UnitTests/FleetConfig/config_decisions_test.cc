#include "FleetConfig/config_decisions.h"

#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "FleetConfig/config_fixture.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::Sheet;

FleetConfiguration Next(const FleetConfiguration& base, int instances) {
  const auto next =
      ApplyStep(base, MakeStep(base, Sheet(0, {{"a", instances}}).rows,
                               absl::StrCat("id", instances), WallTime()));
  CPPUNIT_ASSERT(next);
  return *next;
}

class ConfigDecisionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigDecisionsTest);
  CPPUNIT_TEST(HeadsAreJudgedByRevisionAndContents);
  CPPUNIT_TEST(ReadBacksAreJudgedByApplyId);
  CPPUNIT_TEST(StartWaitsForStoreAndPeers);
  CPPUNIT_TEST(StepsAndDocumentsRoundTrip);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HeadsAreJudgedByRevisionAndContents() {
    const FleetConfiguration one = Next(EmptyConfiguration(), 1);
    const FleetConfiguration two = Next(one, 2);
    const FleetConfiguration other = Next(one, 3);
    HeadDocument head = RebuiltHead(two, "n");
    CPPUNIT_ASSERT(DecideHead(two, head) == HeadAction::kNone);
    CPPUNIT_ASSERT(DecideHead(Next(two, 4), head) == HeadAction::kStoreBehind);
    CPPUNIT_ASSERT(DecideHead(other, head) == HeadAction::kDiverged);
    CPPUNIT_ASSERT(DecideHead(one, head) == HeadAction::kLoadSnapshot);
    head.steps.push_back(MakeStep(one, two.rows, "id2", WallTime()));
    CPPUNIT_ASSERT(DecideHead(one, head) == HeadAction::kAdvance);
    CPPUNIT_ASSERT(DecideHead(EmptyConfiguration(), head) ==
                   HeadAction::kLoadSnapshot);
    // The step continues other contents of the same revision.
    CPPUNIT_ASSERT(DecideHead(Next(EmptyConfiguration(), 7), head) ==
                   HeadAction::kLoadSnapshot);
  }

  // Guards against calling a write refused while it may still take effect.
  void ReadBacksAreJudgedByApplyId() {
    StoredHead read{RebuiltHead(Next(EmptyConfiguration(), 1), "n"), 5};
    CPPUNIT_ASSERT(JudgeReadBack(read, "id1", 5) == ReadBack::kMine);
    CPPUNIT_ASSERT(JudgeReadBack(read, "id2", 4) == ReadBack::kOther);
    CPPUNIT_ASSERT(JudgeReadBack(read, "id2", 5) == ReadBack::kUndecided);
    CPPUNIT_ASSERT(JudgeReadBack(read, "id2", 6) == ReadBack::kUndecided);
  }

  void StartWaitsForStoreAndPeers() {
    struct Case {
      const char* name;
      BootstrapView view;
      bool ready;
    };
    const milliseconds early{100};
    const milliseconds late{3'000};
    for (const Case& c :
         {Case{"nothing", {false, 0, 0, 0, late}, false},
          Case{"store only, early", {true, 0, 0, 1, early}, false},
          Case{"store only, late", {true, 0, 0, 1, late}, true},
          Case{"store, all peers", {true, 2, 1, 1, early}, true},
          Case{"store, one of two peers", {true, 1, 1, 1, early}, false},
          Case{"peers only, early", {false, 2, 1, 1, early}, false},
          Case{"peers only, late", {false, 1, 1, 1, late}, true},
          Case{"behind peers", {true, 2, 2, 1, late}, false}}) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.ready,
                                   BootstrapBlocker(c.view, {2, late}).empty());
    }
  }

  void StepsAndDocumentsRoundTrip() {
    const FleetConfiguration one = Next(EmptyConfiguration(), 1);
    const ConfigStep step =
        MakeStep(one, Sheet(0, {{"b", 2}}).rows, "id2",
                 FromEpoch(milliseconds(5)) + std::chrono::microseconds(7));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, step.removed.size());
    const auto two = ApplyStep(one, step);
    CPPUNIT_ASSERT(two && two->rows == Sheet(0, {{"b", 2}}).rows);
    CPPUNIT_ASSERT(!ApplyStep(*two, step));
    const auto decoded = DecodePayload(EncodeSteps({step}).payload);
    CPPUNIT_ASSERT(decoded && ApplyStep(one, decoded->steps[0])->applied_at ==
                                  two->applied_at);
    const auto whole = DecodeConfiguration(EncodeConfiguration(*two));
    CPPUNIT_ASSERT(whole && whole->applies.size() == 2 &&
                   EncodeConfiguration(*whole) == EncodeConfiguration(*two));
    HeadDocument head = RebuiltHead(*two, "n");
    head.steps = {step};
    const auto read = DecodeHead(EncodeHead(head));
    CPPUNIT_ASSERT(read && EncodeHead(*read) == EncodeHead(head));
    head.snapshot_revision = 3;
    CPPUNIT_ASSERT(!DecodeHead(EncodeHead(head)));
    head.snapshot_revision = 0;
    head.snapshot_key = "";
    CPPUNIT_ASSERT(!DecodeHead(EncodeHead(head)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDecisionsTest);

}  // namespace
}  // namespace figflow
