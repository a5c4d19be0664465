#include "Http/byte_budget.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Http/connection_limits.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using Phase = ByteBudget::Phase;

constexpr size_t kBase = 100;
constexpr size_t kCapacity = 1'000;

class ByteBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ByteBudgetTest);
  CPPUNIT_TEST(PausesAndResumesWithinTheCapacity);
  CPPUNIT_TEST(ClosesWhatHoldsMostForTheLeastProgress);
  CPPUNIT_TEST(SmallRequestsGoOnFirst);
  CPPUNIT_TEST(NeverClosesWhatIsHandled);
  CPPUNIT_TEST(RefusesToHandleWhatIsBeingClosed);
  CPPUNIT_TEST(ArrivalIsLimitedInTime);
  CPPUNIT_TEST(PausesDoNotCountAsArrival);
  CPPUNIT_TEST(SilentConnectionsMakeRoomForNewOnes);
  CPPUNIT_TEST(PartsOfAnInstance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    budget_ = std::make_unique<ByteBudget>(kCapacity);
    group_ = budget_->AddGroup({{milliseconds(1'000), milliseconds(5'000)}, 0});
    now_ = MonoTime(std::chrono::hours(1));
  }

  // Guards against reservations above the capacity, and a pause without end.
  void PausesAndResumesWithinTheCapacity() {
    const auto first = OpenBody(700);
    const auto second = OpenBody(0);
    CPPUNIT_ASSERT(!budget_->Reserve(second, 200, now_));
    CPPUNIT_ASSERT(budget_->Decide(now_).resume.empty());
    budget_->Enter(first, Phase::kHandled, now_);
    budget_->Release(first);
    const auto decisions = budget_->Decide(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.resume.size());
    CPPUNIT_ASSERT_EQUAL(second, decisions.resume[0]);
    CPPUNIT_ASSERT_EQUAL(2 * kBase + 200, budget_->reserved());
    budget_->Close(first);
    budget_->Close(second);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget_->reserved());
    CPPUNIT_ASSERT_EQUAL(size_t{0}, budget_->paused());
  }

  // Guards against a budget that closes the most recent connection, or more
  // than it needs.
  void ClosesWhatHoldsMostForTheLeastProgress() {
    const auto busy = OpenBody(300);
    const auto silent_large = OpenBody(250);
    const auto silent_small = OpenBody(50);
    now_ += milliseconds(600);
    budget_->Progress(busy, now_);
    const auto late = OpenBody(0);
    CPPUNIT_ASSERT(!budget_->Reserve(late, 100, now_));
    const auto decisions = budget_->Decide(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.close.size());
    CPPUNIT_ASSERT_EQUAL(silent_large, decisions.close[0].first);
    CPPUNIT_ASSERT(decisions.close[0].second == CloseCause::kBudget);
    CPPUNIT_ASSERT_EQUAL(late, decisions.resume.at(0));
    CPPUNIT_ASSERT(budget_->Decide(now_).close.empty());
    (void)silent_small;
  }

  // Guards against a small request that waits behind all large ones.
  void SmallRequestsGoOnFirst() {
    const auto holder = OpenBody(500);
    const auto large = OpenBody(250);
    CPPUNIT_ASSERT(!budget_->Reserve(large, 100, now_));
    const auto small = OpenBody(0);
    budget_->Close(holder);
    CPPUNIT_ASSERT(budget_->Reserve(small, 50, now_));
    CPPUNIT_ASSERT_EQUAL(large, budget_->Decide(now_).resume.at(0));
  }

  // Guards against a request that has been passed on and loses its connection
  // for the budget.
  void NeverClosesWhatIsHandled() {
    const auto handled = OpenBody(800);
    budget_->Enter(handled, Phase::kHandled, now_);
    const auto waiting = OpenBody(0);
    CPPUNIT_ASSERT(!budget_->Reserve(waiting, 100, now_));
    now_ += ByteBudget::kGiveUp - milliseconds(1);
    CPPUNIT_ASSERT(budget_->Decide(now_).close.empty());
    now_ += milliseconds(1);
    const auto decisions = budget_->Decide(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.close.size());
    CPPUNIT_ASSERT_EQUAL(waiting, decisions.close[0].first);
    now_ += milliseconds(100'000);
    CPPUNIT_ASSERT(budget_->Decide(now_).close.empty());
    CPPUNIT_ASSERT(budget_->Enter(handled, Phase::kResponse, now_));
  }

  // Guards against a request that runs although its connection was closed.
  void RefusesToHandleWhatIsBeingClosed() {
    const auto late = OpenBody(100);
    now_ += milliseconds(5'001);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, budget_->Decide(now_).close.size());
    CPPUNIT_ASSERT(!budget_->Enter(late, Phase::kHandled, now_));
  }

  // Guards against requests that stay open by a byte from time to time.
  void ArrivalIsLimitedInTime() {
    const auto header = budget_->Open(group_, kBase, now_);
    budget_->Enter(header, Phase::kHeader, now_);
    const auto body = OpenBody(10);
    const auto idle = budget_->Open(group_, kBase, now_);
    const auto handled = OpenBody(10);
    budget_->Enter(handled, Phase::kHandled, now_);
    now_ += milliseconds(1'001);
    auto decisions = budget_->Decide(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.close.size());
    CPPUNIT_ASSERT_EQUAL(header, decisions.close[0].first);
    CPPUNIT_ASSERT(decisions.close[0].second == CloseCause::kHeader);
    now_ += milliseconds(4'000);
    budget_->Progress(body, now_);
    decisions = budget_->Decide(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, decisions.close.size());
    CPPUNIT_ASSERT(decisions.close[0].second == CloseCause::kBody);
    CPPUNIT_ASSERT_EQUAL(idle, decisions.close[1].first);
    CPPUNIT_ASSERT(decisions.close[1].second == CloseCause::kIdle);
  }

  // Guards against a caller that is closed for a wait that the daemon imposed.
  void PausesDoNotCountAsArrival() {
    const auto handled = OpenBody(700);
    budget_->Enter(handled, Phase::kHandled, now_);
    const auto waiting = OpenBody(50);
    now_ += milliseconds(4'000);
    budget_->Progress(waiting, now_);
    CPPUNIT_ASSERT(!budget_->Reserve(waiting, 300, now_));
    now_ += milliseconds(2'000);
    CPPUNIT_ASSERT(budget_->Decide(now_).close.empty());
    budget_->Close(handled);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, budget_->Decide(now_).resume.size());
    now_ += milliseconds(900);
    CPPUNIT_ASSERT(budget_->Decide(now_).close.empty());
    now_ += milliseconds(101);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, budget_->Decide(now_).close.size());
  }

  // Guards against new callers that wait for connections nobody uses.
  void SilentConnectionsMakeRoomForNewOnes() {
    const int crowded =
        budget_->AddGroup({{milliseconds(0), milliseconds(0)}, 2});
    const auto oldest = budget_->Open(crowded, kBase, now_);
    now_ += milliseconds(600);
    budget_->Open(crowded, kBase, now_);
    const auto decisions = budget_->Decide(now_);
    CPPUNIT_ASSERT_EQUAL(size_t{1}, decisions.close.size());
    CPPUNIT_ASSERT_EQUAL(oldest, decisions.close[0].first);
    CPPUNIT_ASSERT(decisions.close[0].second == CloseCause::kConnections);
  }

  // Guards against parts that exceed an instance of the smallest kind, and
  // against limits below those of earlier deployments by default.
  void PartsOfAnInstance() {
    constexpr size_t per_connection = size_t{72} << 10;
    const ConnectionLimits small =
        ConnectionLimitsFor({160, 4'100, 1'500, 512}, per_connection);
    CPPUNIT_ASSERT_EQUAL(size_t{64} << 20, small.budget);
    CPPUNIT_ASSERT_EQUAL(size_t{273}, small.callers);
    CPPUNIT_ASSERT_EQUAL(size_t{182}, small.peers);
    const ConnectionLimits usual =
        ConnectionLimitsFor({2'048, 4'100, 1'500, 512}, per_connection);
    CPPUNIT_ASSERT_EQUAL(size_t{1'500}, usual.callers);
    CPPUNIT_ASSERT_EQUAL(size_t{512}, usual.peers);
    const ConnectionLimits few =
        ConnectionLimitsFor({2'048, 256, 1'500, 512}, per_connection);
    CPPUNIT_ASSERT_EQUAL(size_t{102}, few.callers);
    CPPUNIT_ASSERT_EQUAL(size_t{32}, few.peers);
  }

 private:
  ByteBudget::Id OpenBody(size_t bytes) {
    const auto id = budget_->Open(group_, kBase, now_);
    budget_->Enter(id, Phase::kBody, now_);
    budget_->Charge(id, bytes);
    return id;
  }

  std::unique_ptr<ByteBudget> budget_;
  int group_ = 0;
  MonoTime now_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteBudgetTest);

}  // namespace
}  // namespace figflow
