// Tests the list of members, and the registration of this daemon.
#include <memory>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Ownership/member_list.h"
#include "Ownership/member_registration.h"
#include "StandIns/Fleet/model_store.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonoTime kJoined = MonoTime(std::chrono::hours(1));
const MemberRecord kRecord{"d1", "10.0.0.1:80", 500};

class MemberTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemberTest);
  CPPUNIT_TEST(RemovedMemberExpires);
  CPPUNIT_TEST(RewrittenRecordIsKept);
  CPPUNIT_TEST(RecordIsWrittenOnceForEachLease);
  CPPUNIT_TEST(FailedWritesAreRetriedAfterDelay);
  CPPUNIT_TEST(RemovedRecordIsRewritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    time_ = std::make_unique<model::VirtualTime>();
    store_ = std::make_unique<model::ModelStore>(*time_, 1);
    node_ = std::make_shared<model::ModelNode>();
    view_ = store_->ViewOf(node_);
    registration_ =
        std::make_shared<MemberRegistration>(*view_, *time_, kRecord);
  }

  void RemovedMemberExpires() {
    MemberList list;
    CPPUNIT_ASSERT(list.OnRecordUpdated(kRecord));
    CPPUNIT_ASSERT(!list.OnRecordUpdated(kRecord));
    list.OnRecordRemoved("d1", kJoined);
    list.OnRecordRemoved("d1", kJoined + seconds(2));
    list.OnRecordRemoved("unknown", kJoined);
    CPPUNIT_ASSERT(list.RemoveExpired(kJoined + seconds(3)).empty());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, list.members().size());
    CPPUNIT_ASSERT_EQUAL(size_t{1},
                         list.RemoveExpired(kJoined + seconds(6)).size());
    CPPUNIT_ASSERT(list.members().empty());
  }

  // Guards against daemons that lose their list of peers in a store outage.
  void RewrittenRecordIsKept() {
    MemberList list;
    list.OnRecordUpdated(kRecord);
    list.OnRecordRemoved("d1", kJoined);
    CPPUNIT_ASSERT(!list.OnRecordUpdated(kRecord));
    CPPUNIT_ASSERT(list.RemoveExpired(kJoined + seconds(60)).empty());
    CPPUNIT_ASSERT(list.members().at("d1").removed_at == MonoTime::max());
  }

  void RecordIsWrittenOnceForEachLease() {
    const LeaseId first = Lease();
    Step(first, seconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, store_->commits());
    CPPUNIT_ASSERT_EQUAL(first, store_->Find(MemberKey("d1"))->lease);
    Step(0, milliseconds(100));
    const LeaseId second = Lease();
    Step(second, seconds(1));
    CPPUNIT_ASSERT_EQUAL(uint64_t{2}, store_->commits());
    CPPUNIT_ASSERT_EQUAL(second, store_->Find(MemberKey("d1"))->lease);
  }

  // Guards against continuous requests to a store that rejects them.
  void FailedWritesAreRetriedAfterDelay() {
    const LeaseId lease = Lease();
    node_->store_busy = true;
    CPPUNIT_ASSERT(registration_->Step(lease, time_->Now()) == MonoTime::max());
    time_->RunFor(milliseconds(50));
    const MonoTime next = registration_->Step(lease, time_->Now());
    CPPUNIT_ASSERT(next >= time_->Now() + milliseconds(200));
    CPPUNIT_ASSERT(next <= time_->Now() + milliseconds(400));
    node_->store_busy = false;
    Step(lease, milliseconds(500));
    CPPUNIT_ASSERT(store_->Find(MemberKey("d1")) != nullptr);
    // A write that receives no response.
    const LeaseId second = Lease();
    store_->faults.silent = true;
    Step(second, seconds(1));
    store_->faults.silent = false;
    Step(second, seconds(1));
    CPPUNIT_ASSERT_EQUAL(second, store_->Find(MemberKey("d1"))->lease);
  }

  // Guards against a live daemon that is missing from the lists of its peers.
  void RemovedRecordIsRewritten() {
    const LeaseId lease = Lease();
    Step(lease, seconds(1));
    store_->Remove(MemberKey("d1"));
    registration_->OnRecordObserved(0);
    Step(lease, seconds(1));
    CPPUNIT_ASSERT(store_->Find(MemberKey("d1")) != nullptr);
    // A write of an earlier process that the store applies late.
    registration_->OnRecordObserved(lease + 100);
    const uint64_t before = store_->commits();
    Step(lease, seconds(1));
    CPPUNIT_ASSERT_EQUAL(before + 1, store_->commits());
    registration_->Stop();
    registration_->OnRecordObserved(0);
    Step(lease, seconds(1));
    CPPUNIT_ASSERT_EQUAL(before + 1, store_->commits());
  }

 private:
  LeaseId Lease() {
    LeaseId lease = 0;
    view_->GrantLease(
        std::chrono::seconds(60), milliseconds(500),
        [&lease](const Result<LeaseId>& granted) { lease = *granted; });
    time_->RunFor(milliseconds(20));
    return lease;
  }

  void Step(LeaseId lease, milliseconds duration) {
    for (milliseconds passed{0}; passed < duration;
         passed += milliseconds(10)) {
      registration_->Step(lease, time_->Now());
      time_->RunFor(milliseconds(10));
    }
  }

  std::unique_ptr<model::VirtualTime> time_;
  std::unique_ptr<model::ModelStore> store_;
  model::NodePtr node_;
  std::unique_ptr<TransactionalStore> view_;
  std::shared_ptr<MemberRegistration> registration_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTest);

}  // namespace
}  // namespace figflow
