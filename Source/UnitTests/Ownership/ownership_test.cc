// Tests claims, the lease and durable writes against the model of the store.
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/metrics.h"
#include "Ownership/owner_record.h"
#include "Ownership/prefix_follower.h"
#include "Ownership/record_writer.h"
#include "Ownership/store_session.h"
#include "StandIns/Fleet/model_store.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class OwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipTest);
  CPPUNIT_TEST(WriteSurvivesLostResponses);
  CPPUNIT_TEST(LateCopyOfAWriteChangesNothing);
  CPPUNIT_TEST(DeposedOwnerWritesNothing);
  CPPUNIT_TEST(RefusedWriteIsNotRepeated);
  CPPUNIT_TEST(RefusedRenewalTakesNewLease);
  CPPUNIT_TEST(StoppedWriterReleasesCallback);
  CPPUNIT_TEST(LeaseValidityCountsFromSendTime);
  CPPUNIT_TEST(ExpiredLeaseIsReplaced);
  CPPUNIT_TEST(StoreRecoveryIsDetectedPromptly);
  CPPUNIT_TEST(FollowerReportsMissedRemovals);
  CPPUNIT_TEST(FollowerLimitsWatchRate);
  CPPUNIT_TEST(StalenessOfHealthyStoreIsBounded);
  CPPUNIT_TEST(RecordsRoundTripAndMalformedInputIsRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  OwnershipTest()
      : store_(time_, 1), node_(std::make_shared<model::ModelNode>()) {
    view_ = store_.ViewOf(node_);
  }

  void WriteSurvivesLostResponses() {
    auto writer = MakeWriter("n1");
    store_.faults.lost_share = 1.0;
    int written = 0;
    Write(*writer, "k", "v1", &written);
    StepFor(*writer, milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(0, written);
    store_.faults.lost_share = 0;
    StepFor(*writer, seconds(2));
    CPPUNIT_ASSERT_EQUAL(1, written);
    CPPUNIT_ASSERT_EQUAL(std::string("v1"), store_.Find("k")->value);
  }

  // Guards against an old value that overwrites a newer one: the store may
  // apply a write seconds after its response was lost.
  void LateCopyOfAWriteChangesNothing() {
    auto writer = MakeWriter("n1");
    store_.faults.lost_share = 1.0;
    store_.faults.lost_late = true;
    int written = 0;
    Write(*writer, "k", "old", &written);
    StepFor(*writer, milliseconds(400));
    store_.faults.lost_share = 0;
    StepFor(*writer, seconds(1));
    Write(*writer, "k", "new", &written);
    StepFor(*writer, seconds(8));
    CPPUNIT_ASSERT_EQUAL(2, written);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), store_.Find("k")->value);
  }

  // Guards against a pool that repeats a write which the store will never take,
  // and writes nothing else.
  void RefusedWriteIsNotRepeated() {
    auto writer = MakeWriter("n1");
    store_.faults.max_value_bytes = 100;
    int ended = 0;
    writer->Write({{"k", std::string(101, 'v'), 0}}, {},
                  [&](RecordWriter::Outcome result) {
                    ++ended;
                    CPPUNIT_ASSERT(result == RecordWriter::Outcome::kRefused);
                  });
    StepFor(*writer, seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, ended);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, store_.refused());
    int written = 0;
    Write(*writer, "k", "v", &written);
    StepFor(*writer, seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, written);
    CPPUNIT_ASSERT_EQUAL(std::string("v"), store_.Find("k")->value);
  }

  // Same failure for the lease of a daemon, which could own nothing any more.
  void RefusedRenewalTakesNewLease() {
    auto session = std::make_shared<StoreSession>(*view_, SessionOptions());
    RunSession(*session, seconds(1));
    const LeaseId first = session->lease();
    CPPUNIT_ASSERT(first != 0);
    store_.faults.refuse_renewals = true;
    RunSession(*session, seconds(1));
    store_.faults.refuse_renewals = false;
    RunSession(*session, seconds(1));
    CPPUNIT_ASSERT(session->lease() != 0);
    CPPUNIT_ASSERT(session->lease() != first);
    CPPUNIT_ASSERT(session->lease_valid_until() > time_.Now());
  }

  // Guards against a memory leak: a callback that is never called would keep
  // the state of a pool that is released during a write.
  void StoppedWriterReleasesCallback() {
    auto writer = MakeWriter("n1");
    store_.faults.silent = true;
    auto state = std::make_shared<int>(0);
    writer->Write({{"k", "v", 0}}, {},
                  [state](RecordWriter::Outcome) { ++*state; });
    writer->Stop();
    CPPUNIT_ASSERT_EQUAL(1L, state.use_count());
  }

  void DeposedOwnerWritesNothing() {
    auto writer = MakeWriter("n1");
    store_.Remove(OwnerKey("p"));
    int written = 0;
    RecordWriter::Outcome outcome = RecordWriter::Outcome::kWritten;
    writer->Write({{"k", "v", 0}}, {}, [&](RecordWriter::Outcome result) {
      ++written;
      outcome = result;
    });
    StepFor(*writer, seconds(1));
    CPPUNIT_ASSERT_EQUAL(1, written);
    CPPUNIT_ASSERT(outcome == RecordWriter::Outcome::kDeposed);
    CPPUNIT_ASSERT(store_.Find("k") == nullptr);
  }

  // Guards against a lease that is extended by a delayed response, for example
  // after a suspension of the daemon.
  void LeaseValidityCountsFromSendTime() {
    auto session = std::make_shared<StoreSession>(*view_, SessionOptions());
    const MonoTime begun = time_.Now();
    session->Step(time_.Now());
    node_->suspended_until = begun + seconds(5);
    time_.RunFor(seconds(6));
    CPPUNIT_ASSERT(session->lease_valid_until() <= begun + milliseconds(1'500));
  }

  void ExpiredLeaseIsReplaced() {
    auto session = std::make_shared<StoreSession>(*view_, SessionOptions());
    RunSession(*session, seconds(1));
    const LeaseId first = session->lease();
    CPPUNIT_ASSERT(first != 0);
    store_.faults.silent = true;
    store_.faults.lapse = true;
    RunSession(*session, seconds(3));
    CPPUNIT_ASSERT(session->lease_valid_until() < time_.Now());
    store_.faults.silent = false;
    RunSession(*session, seconds(2));
    CPPUNIT_ASSERT(session->lease() != 0);
    CPPUNIT_ASSERT(session->lease() != first);
    CPPUNIT_ASSERT(session->lease_valid_until() > time_.Now());
  }

  // Guards against a probe that an unresponsive store has lost and that delays
  // the next one.
  void StoreRecoveryIsDetectedPromptly() {
    auto session = std::make_shared<StoreSession>(*view_, SessionOptions());
    RunSession(*session, seconds(1));
    store_.faults.silent = true;
    store_.faults.lapse = true;
    RunSession(*session, milliseconds(3'130));
    store_.faults.silent = false;
    RunSession(*session, milliseconds(300));
    CPPUNIT_ASSERT(session->lease_valid_until() > time_.Now());
    CPPUNIT_ASSERT(session->TakeStoreRegained());
    CPPUNIT_ASSERT(!session->TakeStoreRegained());
  }

  void FollowerReportsMissedRemovals() {
    store_.Put("x/1", "a");
    store_.Put("x/2", "b");
    std::vector<std::string> seen;
    PrefixFollowerOptions options;
    options.prefix = "x/";
    auto follower = std::make_shared<PrefixFollower>(
        *view_, time_, metrics_, options,
        [&](const StoreItem& item) {
          seen.push_back((item.removed ? "-" : "+") + item.key);
        },
        [] {});
    follower->Start();
    time_.RunFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(size_t{2}, seen.size());
    store_.SwallowWatches();
    store_.Remove("x/1");
    store_.ForgetHistory();
    for (int i = 0; i < 400; ++i) {
      follower->Step(time_.Now());
      time_.RunFor(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(size_t{3}, seen.size());
    CPPUNIT_ASSERT_EQUAL(std::string("-x/1"), seen.back());
    follower->Stop();
  }

  // Guards against a store request for each change of keys that change
  // continuously.
  void FollowerLimitsWatchRate() {
    std::string last;
    // Changes that arrive in one response are reported at the same time.
    std::set<MonoTime> response_times;
    PrefixFollowerOptions options;
    options.prefix = "x/";
    options.min_watch_interval = milliseconds(100);
    auto follower = std::make_shared<PrefixFollower>(
        *view_, time_, metrics_, options,
        [&](const StoreItem& item) {
          last = item.value;
          response_times.insert(time_.Now());
        },
        [] {});
    follower->Start();
    for (int i = 0; i < 200; ++i) {
      store_.Put("x/1", absl::StrCat(i));
      follower->Step(time_.Now());
      time_.RunFor(milliseconds(5));
    }
    CPPUNIT_ASSERT(response_times.size() <= 11);
    CPPUNIT_ASSERT(response_times.size() >= 8);
    for (int i = 0; i < 30; ++i) {
      follower->Step(time_.Now());
      time_.RunFor(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(std::string("199"), last);
    // A new interval takes effect at the next Step.
    follower->SetMinWatchInterval(milliseconds(0));
    store_.Put("x/1", "soon");
    time_.RunFor(milliseconds(10));
    follower->Step(time_.Now());
    time_.RunFor(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("soon"), last);
    follower->Stop();
  }

  // Guards against owners that count as stale although the store is healthy,
  // and against a bound that lost watches do not exceed.
  void StalenessOfHealthyStoreIsBounded() {
    store_.Put("x/1", "a");
    PrefixFollowerOptions options;
    options.prefix = "x/";
    auto follower = std::make_shared<PrefixFollower>(
        *view_, time_, metrics_, options, [](const StoreItem&) {}, [] {});
    follower->Start();
    time_.RunFor(milliseconds(100));
    CPPUNIT_ASSERT(MaxStaleness(*follower, seconds(20)) <=
                   kMaxHealthyStaleness);
    follower->SetMinWatchInterval(milliseconds(1'000));
    for (int i = 0; i < 20; ++i) {
      store_.Put("x/1", absl::StrCat(i));
      CPPUNIT_ASSERT(MaxStaleness(*follower, milliseconds(700)) <=
                     kMaxHealthyStaleness);
    }
    CPPUNIT_ASSERT(MaxStaleness(*follower, seconds(20)) <=
                   kMaxHealthyStaleness);
    store_.SwallowWatches();
    CPPUNIT_ASSERT(MaxStaleness(*follower, seconds(10)) > kMaxHealthyStaleness);
    follower->Stop();
  }

  void RecordsRoundTripAndMalformedInputIsRejected() {
    const Result<OwnerRecord> owner =
        ParseOwnerRecord(FormatOwnerRecord({"e", "1.2.3.4:5", "n"}));
    CPPUNIT_ASSERT(owner.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("1.2.3.4:5"), owner->address);
    CPPUNIT_ASSERT(!ParseOwnerRecord("").has_value());
    CPPUNIT_ASSERT(!ParseOwnerRecord("\x81\x01").has_value());
    const Result<MemberRecord> member =
        ParseMemberRecord(FormatMemberRecord({"e", "1.2.3.4:5", 120}));
    CPPUNIT_ASSERT(member.has_value());
    CPPUNIT_ASSERT_EQUAL(int64_t{120}, member->millicores);
    CPPUNIT_ASSERT(!ParseMemberRecord("\x81\x01").has_value());
    CPPUNIT_ASSERT(!ParseSequenceRecord("\xff").has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("j"),
                         LastKeySegment(AcceptedJobKey("p", "j")));
  }

 private:
  static StoreSessionOptions SessionOptions() { return {}; }

  std::shared_ptr<RecordWriter> MakeWriter(const std::string& nonce) {
    store_.Put(OwnerKey("p"), "claim");
    RecordWriter::Ownership ownership;
    ownership.pool = "p";
    ownership.nonce = nonce;
    ownership.owner_revision = store_.Find(OwnerKey("p"))->revision;
    return std::make_shared<RecordWriter>(*view_, time_, metrics_, ownership,
                                          [] {});
  }

  static void Write(RecordWriter& writer,
                    const std::string& key,
                    const std::string& value,
                    int* written) {
    writer.Write(
        {{key, value, 0}}, {}, [written](RecordWriter::Outcome result) {
          *written += result == RecordWriter::Outcome::kWritten ? 1 : 0;
        });
  }

  // Returns the maximum staleness of the follower during `duration`.
  MonoTime::duration MaxStaleness(PrefixFollower& follower,
                                  MonoTime::duration duration) {
    const MonoTime end = time_.Now() + duration;
    MonoTime::duration max_staleness{0};
    while (time_.Now() < end) {
      follower.Step(time_.Now());
      time_.RunFor(milliseconds(5));
      max_staleness = std::max(max_staleness, follower.Staleness(time_.Now()));
    }
    return max_staleness;
  }

  void StepFor(RecordWriter& writer, MonoTime::duration duration) {
    const MonoTime end = time_.Now() + duration;
    while (time_.Now() < end) {
      writer.Step(time_.Now());
      time_.RunFor(milliseconds(5));
    }
  }

  void RunSession(StoreSession& session, MonoTime::duration duration) {
    const MonoTime end = time_.Now() + duration;
    while (time_.Now() < end) {
      session.Step(time_.Now());
      time_.RunFor(milliseconds(10));
    }
  }

  model::VirtualTime time_;
  model::ModelStore store_;
  model::NodePtr node_;
  std::unique_ptr<TransactionalStore> view_;
  MetricsRegistry metrics_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipTest);

}  // namespace
}  // namespace figflow
