#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Routing/edf_queue.h"
#include "Routing/operation_classifier.h"
#include "Routing/retry_budget.h"
#include "Routing/routing_fixture.h"
#include "Routing/slot_allocator.h"
#include "Routing/target_health.h"
#include "Routing/wait_predictor.h"
#include "absl/strings/str_split.h"

namespace figflow {
namespace {

using namespace std::string_literals;
using test::At;
using test::MakePool;
using test::Ms;

struct HealthCase {
  const char* name;
  // Events "<kind><seconds>/<boot>" at a target with boot number 5. Kinds: g
  // grant, l marked as leaving, b boot number received. Outcomes of a request:
  // a responded, r refused, f failed, t timed out, c cancelled.
  const char* events;
  double at;
  bool can_grant;
  bool takes_work;
};

constexpr HealthCase kHealthCases[] = {
    {"fresh", "", 0, true, true},
    {"refused: nothing granted before the delay", "r0/5", 0.2, false, true},
    {"refused: probe after the delay", "r0/5", 0.3, true, true},
    {"one probe at a time", "r0/5 g1/5", 1.1, false, false},
    {"probe refused: delay doubles", "r0/5 g1/5 r1/5", 1.4, false, false},
    {"probe answered", "r0/5 g1/5 a1/5", 1, true, true},
    {"probe timed out", "r0/5 g1/5 t1/5", 1.1, false, false},
    {"probe cancelled: next one at once", "r0/5 g1/5 c1/5", 1, true, true},
    {"old response does not end probation", "g0/5 r0/5 a0/5", 0, false, true},
    {"refusal by an earlier boot", "r0/4", 0, true, true},
    {"restart ends probation", "r0/5 b0/6", 0, true, true},
    {"three failures in a row", "f0/5 f0/5 f0/5", 0, false, true},
    {"failures with a response between", "f0/5 f0/5 a0/5 f0/5", 0, true, true},
    {"timeouts are no sign", "t0/5 t0/5 t0/5", 0, true, true},
    {"leaving after a response", "l0/5 a1/5", 9999, false, false},
    {"leaving in an earlier boot", "l0/4", 0, true, true},
    {"stale list does not end leaving", "l0/5 b0/4", 1, false, false},
    {"restart ends leaving", "l0/5 b0/6", 1, true, true},
};

struct LearnCase {
  const char* name;
  // Declared times, then measurements: "<operation>/<milliseconds>/<count>".
  const char* declared;
  const char* observed;
  const char* asked;
  SizeClass expected;
};

constexpr LearnCase kLearnCases[] = {
    {"unknown", "", "a/10/50", "x", SizeClass::kShort},
    {"four times the base", "", "a/10/50 b/50/50", "b", SizeClass::kLong},
    {"three times the base", "", "a/10/50 b/28/50", "b", SizeClass::kShort},
    {"alone in its pool", "", "b/5000/50", "b", SizeClass::kShort},
    {"below the minimum long time", "", "a/0.2/50 b/5/50", "b",
     SizeClass::kShort},
    {"rare fast operation", "", "a/1/2 b/50/200", "b", SizeClass::kShort},
    {"declared", "a/10/1 b/500/1", "", "b", SizeClass::kLong},
    {"declared time outweighed by measurements", "a/10/1 b/500/1",
     "a/10/20 b/10/20", "b", SizeClass::kShort},
    {"service time increased", "", "a/10/99 b/10/9 b/500/9", "b",
     SizeClass::kLong},
    {"one slow sample of many", "", "a/10/99 b/10/9 b/500/1", "b",
     SizeClass::kShort},
};

// Splits the text into items at spaces and each item into fields at slashes.
std::vector<std::vector<std::string>> Items(absl::string_view text) {
  std::vector<std::vector<std::string>> items;
  for (const absl::string_view item :
       absl::StrSplit(text, ' ', absl::SkipEmpty())) {
    items.push_back(absl::StrSplit(item, '/'));
  }
  return items;
}

struct CapacityCase {
  const char* name;
  int targets;
  int slots;
  double long_share;
  // Expected number of long grants, and of short grants after them.
  int longs;
  int shorts;
};

constexpr CapacityCase kCapacityCases[] = {
    {"limited by the long share", 10, 8, 0.25, 20, 60},
    {"one slot per target left", 4, 2, 1.0, 4, 4},
    {"0.29 of 100 slots", 10, 10, 0.29, 29, 71},
    {"single slots: one for long requests", 4, 1, 0.5, 1, 3},
    {"small share of few slots", 2, 2, 0.1, 1, 3},
    {"no long requests", 4, 2, 0, 0, 8},
    {"no slots", 4, 0, 0.5, 0, 0},
};

class DecisionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DecisionsTest);
  CPPUNIT_TEST(HealthFollowsMarksAndProbes);
  CPPUNIT_TEST(ClassesFollowMeasuredTimes);
  CPPUNIT_TEST(LearnedOperationsAreBounded);
  CPPUNIT_TEST(SketchFollowsAChange);
  CPPUNIT_TEST(LongWorkLeavesSlots);
  CPPUNIT_TEST(LongWorkLeavesSlotAtEachTarget);
  CPPUNIT_TEST(TargetsAreSpread);
  CPPUNIT_TEST(QueueServesByDeadline);
  CPPUNIT_TEST(RetriesStayBelowTenPercent);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against granting requests to a target that is leaving or refuses
  // connections, and against a target that is never probed again.
  void HealthFollowsMarksAndProbes() {
    const std::map<char, AttemptOutcome> ends = {
        {'a', AttemptOutcome::kAnswered},
        {'r', AttemptOutcome::kRefused},
        {'f', AttemptOutcome::kFailed},
        {'t', AttemptOutcome::kTimedOut},
        {'c', AttemptOutcome::kCancelled}};
    for (const HealthCase& c : kHealthCases) {
      TargetHealth health;
      health.SetBoot(5);
      bool probe = false;
      for (const auto& event : Items(c.events)) {
        const char kind = event[0][0];
        const uint64_t boot = std::stoull(event[1]);
        if (kind == 'g') {
          probe = health.OnGrant();
        } else if (kind == 'l') {
          health.MarkLeaving(boot);
        } else if (kind == 'b') {
          health.SetBoot(boot);
        } else {
          health.OnFinish(boot, probe, ends.at(kind),
                          At(std::stod(event[0].substr(1))));
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.can_grant,
                                   health.CanGrant(At(c.at)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.takes_work,
                                   health.AcceptsQueuedWork(At(c.at)));
    }
  }

  // Guards against long requests in the queue for short ones, and against
  // limiting a pool whose requests all take equally long to the long share.
  void ClassesFollowMeasuredTimes() {
    for (const LearnCase& c : kLearnCases) {
      OperationClassifier learner((SizeClassOptions()));
      for (const auto& item : Items(c.declared)) {
        learner.DeclareServiceTime(item[0], Ms(std::stod(item[1])), At(0));
      }
      for (const auto& item : Items(c.observed)) {
        for (int i = 0; i < std::stoi(item[2]); ++i) {
          learner.Observe(item[0], Ms(std::stod(item[1])), At(0));
        }
      }
      CPPUNIT_ASSERT_MESSAGE(c.name, c.expected == learner.Classify(c.asked));
    }
  }

  // Guards against unbounded memory use if callers send arbitrary paths.
  void LearnedOperationsAreBounded() {
    OperationClassifier learner((SizeClassOptions()));
    for (int i = 0; i < 5000; ++i) {
      learner.Observe("op" + std::to_string(i), Ms(1), At(i));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{128}, learner.Dump().size());
    CPPUNIT_ASSERT(learner.Dump().contains("op4999"));
  }

  // Guards against old samples that outweigh new ones, and against a quantile
  // that is off by more than a bucket.
  void SketchFollowsAChange() {
    QuantileSketch sketch(std::chrono::seconds(30));
    for (int i = 0; i < 1000; ++i) {
      sketch.Add(Ms(100), 1, At(i * 0.01));
    }
    CPPUNIT_ASSERT(sketch.Quantile(0.5) > Ms(81));
    CPPUNIT_ASSERT(sketch.Quantile(0.5) < Ms(119));
    for (int i = 0; i < 100; ++i) {
      sketch.Add(Ms(10), 1, At(300 + i * 0.01));
    }
    CPPUNIT_ASSERT(sketch.Quantile(0.75) < Ms(12));
  }

  // Guards against long requests that hold more than their share or the last
  // slot of a target, and against long requests that can never run.
  void LongWorkLeavesSlots() {
    for (const CapacityCase& c : kCapacityCases) {
      SlotAllocator accounts;
      accounts.Update(MakePool(c.targets, c.slots, c.long_share), {});
      int granted[kSizeClasses] = {};
      for (const SizeClass size_class : {SizeClass::kLong, SizeClass::kShort}) {
        while (const auto* target = accounts.ChooseTarget(size_class, At(0))) {
          accounts.OnGrant(target->share.id, size_class);
          ++granted[Index(size_class)];
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.longs,
                                   granted[Index(SizeClass::kLong)]);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, c.shorts,
                                   granted[Index(SizeClass::kShort)]);
    }
  }

  // Guards against a small target whose slots are all held by long requests
  // while a large one still has free slots for them.
  void LongWorkLeavesSlotAtEachTarget() {
    SlotAllocator accounts;
    PoolTable table = MakePool(3, 2, 1.0);
    table.targets[0].slots = 16;
    accounts.Update(table, {});
    std::map<InstanceId, int> granted;
    while (const auto* target =
               accounts.ChooseTarget(SizeClass::kLong, At(0))) {
      ++granted[target->share.id];
      accounts.OnGrant(target->share.id, SizeClass::kLong);
    }
    CPPUNIT_ASSERT_EQUAL(15, granted[InstanceId("t0")]);
    CPPUNIT_ASSERT_EQUAL(1, granted[InstanceId("t1")]);
    CPPUNIT_ASSERT_EQUAL(1, granted[InstanceId("t2")]);
  }

  // Guards against uneven load of targets and of racks.
  void TargetsAreSpread() {
    SlotAllocator accounts;
    PoolTable table = MakePool(4, 4);
    table.targets[3].slots = 8;
    accounts.Update(table, {});
    std::string order;
    for (int i = 0; i < 5; ++i) {
      const InstanceId target =
          accounts.ChooseTarget(SizeClass::kShort, At(0))->share.id;
      accounts.OnGrant(target, SizeClass::kShort);
      order += target.value() + " ";
    }
    // t0 and t1 share a rack, t2 and t3 the other; t3 has twice the slots.
    CPPUNIT_ASSERT_EQUAL("t0 t2 t1 t3 t3 "s, order);
  }

  // Guards against serving in the sequence of arrival, losing items when others
  // are cancelled, and counting cancelled items.
  void QueueServesByDeadline() {
    EdfQueue queue(100);
    const auto push = [&queue](uint64_t id, double deadline) {
      queue.Push(QueuedWork{WorkItem{id, {}, "", At(deadline)}, {}, {}});
    };
    for (uint64_t id = 0; id < 100; ++id) {
      push(id, static_cast<double>((id * 37) % 100));
    }
    CPPUNIT_ASSERT(queue.full());
    CPPUNIT_ASSERT_EQUAL(size_t{100}, queue.CountAhead(At(200)));
    CPPUNIT_ASSERT_EQUAL(size_t{51}, queue.CountAhead(At(50)));
    for (uint64_t id = 0; id < 100; ++id) {
      if (id % 10 != 0) {
        CPPUNIT_ASSERT(queue.Cancel(id).has_value());
        CPPUNIT_ASSERT(!queue.Cancel(id).has_value());
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{10}, queue.CountAhead(At(200)));
    push(1, 45);  // The id of a cancelled item may be reused.
    CPPUNIT_ASSERT(!queue.PopExpired(At(-1)));
    std::vector<uint64_t> order;
    while (const auto work = queue.Pop()) {
      order.push_back(work->item.id);
    }
    const std::vector<uint64_t> expected = {0,  30, 60, 90, 20, 1,
                                            50, 80, 10, 40, 70};
    CPPUNIT_ASSERT(expected == order);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, queue.CountAhead(At(200)));
  }

  // Guards against retries that multiply an overload.
  void RetriesStayBelowTenPercent() {
    RetryBudget budget;
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < 10000; ++i) {
      budget.OnGrant(At(i * 0.001));
      ++requests;
      while (budget.Take(At(i * 0.001))) {
        ++retries;
        budget.OnGrant(At(i * 0.001));
      }
    }
    CPPUNIT_ASSERT(retries <= requests / 10);
    CPPUNIT_ASSERT(retries >= requests / 12);
    // Tokens earned in a busy period expire.
    for (int i = 0; i < 10000; ++i) {
      budget.OnGrant(At(10));
    }
    CPPUNIT_ASSERT(!budget.Take(At(200)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecisionsTest);

}  // namespace
}  // namespace figflow
