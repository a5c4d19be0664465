// Tests followers that were disconnected, on links that carry only a few
// versions of a large value in a second. The figures are those of a small entry
// instance: 10 Mbit/s, and a plan of about 1,650 queues.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/metrics.h"
#include "Ownership/prefix_follower.h"
#include "StandIns/Fleet/model_store.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kSlowLink = 1'250'000;
constexpr size_t kPlanBytes = 308'000;
// Size as a response, in which the value is sent as text.
constexpr size_t kResponseBytes = kPlanBytes * 4 / 3;
// Time within which an acknowledged change has to be in force.
constexpr milliseconds kApplyBound{3'000};
// Time after a disruption until the bound holds again.
constexpr milliseconds kRecoveryTime{4'000};
constexpr milliseconds kStep{10};

class FollowerCatchUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FollowerCatchUpTest);
  CPPUNIT_TEST(ReconnectedFollowerAppliesChangesInTime);
  CPPUNIT_TEST(CatchUpCostIsIndependentOfOutageLength);
  CPPUNIT_TEST(FrequentChangesDoNotOverloadSlowLink);
  CPPUNIT_TEST(SupersededVersionsAreNotReported);
  CPPUNIT_TEST(KeyRewrittenAfterRemovalIsReportedAsWritten);
  CPPUNIT_TEST(ResponseInTransferIsNotRequestedAgain);
  CPPUNIT_TEST(LostWatchEndsWhenStoreIsAvailableAgain);
  CPPUNIT_TEST(LostReadEndsWhenStoreIsAvailableAgain);
  CPPUNIT_TEST(RepeatedConfirmationsDoNotAbortPendingRead);
  CPPUNIT_TEST_SUITE_END();

 public:
  FollowerCatchUpTest()
      : store_(time_, 1), node_(std::make_shared<model::ModelNode>()) {
    node_->link_bytes_per_second = kSlowLink;
    view_ = store_.ViewOf(node_);
  }

  void tearDown() override {
    if (follower_) {
      follower_->Stop();
    }
  }

  // Guards against a daemon that replays all missed versions, and therefore
  // refuses queues that an acknowledged plan has.
  void ReconnectedFollowerAppliesChangesInTime() {
    StartFollower();
    node_->store_cut = true;
    ChangeFor(seconds(5), milliseconds(300));
    node_->store_cut = false;
    ChangeFor(kRecoveryTime, milliseconds(300));
    worst_lag_ = milliseconds(0);
    ChangeFor(seconds(6), milliseconds(300));
    CPPUNIT_ASSERT_MESSAGE(LagText(), worst_lag_ <= kApplyBound);
  }

  // Guards against responses that contain all changes of an outage.
  void CatchUpCostIsIndependentOfOutageLength() {
    StartFollower();
    const size_t after_short = BytesToCatchUp(seconds(2));
    const size_t after_long = BytesToCatchUp(seconds(16));
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(after_short, " and ", after_long),
                           after_long <= after_short + kResponseBytes);
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(after_long),
                           after_long <= 3 * kResponseBytes);
  }

  // Guards against a lag that grows with each response, when changes come
  // faster than the link carries versions of the plan.
  void FrequentChangesDoNotOverloadSlowLink() {
    StartFollower();
    ChangeFor(seconds(10), milliseconds(160));
    CPPUNIT_ASSERT_MESSAGE(LagText(), worst_lag_ <= kApplyBound);
  }

  // Guards against work for versions that are superseded in the same response.
  void SupersededVersionsAreNotReported() {
    node_->link_bytes_per_second = 0;
    StartFollower();
    node_->store_cut = true;
    RunFor(seconds(4));
    reported_.clear();
    for (int i = 0; i < 5; ++i) {
      Change(1);
    }
    node_->store_cut = false;
    RunFor(seconds(4));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, reported_.size());
    CPPUNIT_ASSERT_EQUAL(version_, *reported_.begin());
  }

  // Guards against a removal that is reported although the key was written
  // again.
  void KeyRewrittenAfterRemovalIsReportedAsWritten() {
    node_->link_bytes_per_second = 0;
    StartFollower();
    node_->store_cut = true;
    RunFor(seconds(4));
    store_.Remove("op/config");
    Change(1);
    node_->store_cut = false;
    RunFor(seconds(4));
    CPPUNIT_ASSERT_EQUAL(version_, known_);
    CPPUNIT_ASSERT_EQUAL(size_t{0}, removed_.count("op/config"));
  }

  // Guards against a second transfer of the plan on a link that the first one
  // saturates: a saturated link delays the renewal of the lease, and a delayed
  // renewal looks like a store outage.
  void ResponseInTransferIsNotRequestedAgain() {
    StartFollower();
    const size_t before = node_->received_bytes;
    Change(kPlanBytes);
    RunFor(milliseconds(100));
    for (int i = 0; i < 3; ++i) {
      follower_->Resync();
      RunFor(milliseconds(50));
    }
    RunFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(version_, known_);
    CPPUNIT_ASSERT(node_->received_bytes - before < 2 * kResponseBytes);
  }

  // Guards against changes that are delayed until the end of a watch that the
  // store has lost.
  void LostWatchEndsWhenStoreIsAvailableAgain() {
    StartFollower();
    store_.SwallowWatches();
    Change(kPlanBytes);
    RunFor(milliseconds(100));
    follower_->Resync();
    RunFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(version_, known_);
  }

  // Guards against the same failure for a read of the range.
  void LostReadEndsWhenStoreIsAvailableAgain() {
    StartFollower();
    store_.ForgetHistory();
    node_->store_cut = true;
    RunFor(milliseconds(100));
    Change(kPlanBytes);
    RunFor(milliseconds(100));
    node_->store_cut = false;
    follower_->Resync();
    RunFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(version_, known_);
  }

  // Guards against confirmations that each abort the one before: with a slow
  // store none of them would complete.
  void RepeatedConfirmationsDoNotAbortPendingRead() {
    StartFollower();
    store_.faults.latency = milliseconds(200);
    RunFor(seconds(5));
    for (int i = 0; i < 45; ++i) {
      follower_->ConfirmCurrent();
      RunFor(kStep);
    }
    const auto age = WholeMilliseconds(follower_->Staleness(time_.Now()));
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat(age.count()), age <= milliseconds(450));
  }

 private:
  void StartFollower() {
    Change(kPlanBytes);
    PrefixFollowerOptions options;
    options.prefix = "op/";
    follower_ = std::make_shared<PrefixFollower>(
        *view_, time_, metrics_, options,
        [this](const StoreItem& item) { OnItem(item); }, [] {});
    follower_->Start();
    RunFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(version_, known_);
    worst_lag_ = milliseconds(0);
  }

  void OnItem(const StoreItem& item) {
    if (item.removed) {
      removed_.insert(item.key);
      return;
    }
    int version = 0;
    if (absl::SimpleAtoi(item.value.substr(0, 8), &version)) {
      known_ = version;
      reported_.insert(version);
    }
  }

  void Change(size_t bytes) {
    ++version_;
    store_.Put("op/config", absl::StrCat(absl::Dec(version_, absl::kZeroPad8),
                                         std::string(bytes, 'x')));
    changed_at_[version_] = time_.Now();
  }

  // Returns how long the oldest change that the follower has not received has
  // been in the store.
  MonoTime::duration Lag() const {
    const auto oldest = changed_at_.upper_bound(known_);
    return oldest == changed_at_.end() ? MonoTime::duration(0)
                                       : time_.Now() - oldest->second;
  }

  void RunFor(MonoTime::duration duration) {
    const MonoTime end = time_.Now() + duration;
    while (time_.Now() < end) {
      follower_->Step(time_.Now());
      time_.RunFor(kStep);
      worst_lag_ = std::max(worst_lag_, Lag());
    }
  }

  // Changes the plan once in each `interval`.
  void ChangeFor(MonoTime::duration duration, milliseconds interval) {
    const MonoTime end = time_.Now() + duration;
    while (time_.Now() < end) {
      Change(kPlanBytes);
      RunFor(interval);
    }
  }

  // Returns the bytes received from the end of an outage until the latest
  // version has arrived.
  size_t BytesToCatchUp(MonoTime::duration outage) {
    node_->store_cut = true;
    ChangeFor(outage, milliseconds(300));
    const size_t before = node_->received_bytes;
    node_->store_cut = false;
    for (int i = 0; i < 6'000 && known_ != version_; ++i) {
      RunFor(kStep);
    }
    CPPUNIT_ASSERT_EQUAL(version_, known_);
    RunFor(seconds(1));
    return node_->received_bytes - before;
  }

  std::string LagText() const {
    return absl::StrCat("a change was ", WholeMilliseconds(worst_lag_).count(),
                        " ms late");
  }

  model::VirtualTime time_;
  model::ModelStore store_;
  model::NodePtr node_;
  std::unique_ptr<TransactionalStore> view_;
  MetricsRegistry metrics_;
  std::shared_ptr<PrefixFollower> follower_;
  int version_ = 0;
  int known_ = 0;
  std::set<std::string> removed_;
  std::map<int, MonoTime> changed_at_;
  std::set<int> reported_;
  MonoTime::duration worst_lag_{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerCatchUpTest);

}  // namespace
}  // namespace figflow
