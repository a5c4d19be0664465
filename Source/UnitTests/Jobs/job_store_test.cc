#include "Jobs/job_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Jobs/jobs_fixture.h"
#include "Support/fake_key_value_store.h"
#include "absl/strings/str_split.h"

namespace figflow {
namespace {

using namespace std::string_literals;
using test::FakeKeyValueStore;
using test::MakeJob;
using WriteFault = FakeKeyValueStore::WriteFault;

constexpr std::chrono::milliseconds kTimeout{100};
const ProjectId kProject("project");

std::string Told(const Result<StoredJob>& result) {
  return std::string(result ? JobStateName(result->record.state)
                            : ErrorCodeName(result.error().code));
}

struct SubmitCase {
  const char* name;
  WriteFault fault;
  bool down;
  const char* told;
  // What a second submission under the same id is told.
  const char* again;
};

constexpr SubmitCase kSubmitCases[] = {
    {"no fault", WriteFault::kNone, false, "pending", "conflict"},
    {"answer lost", WriteFault::kAnswerLost, false, "pending", "conflict"},
    {"request lost", WriteFault::kRequestLost, false, "unknown-outcome",
     "pending"},
    {"store down", WriteFault::kNone, true, "unavailable", "pending"},
};

struct CancelCase {
  const char* name;
  // States the job goes through before the cancellation.
  const char* before;
  // State that another party writes between its read and its write.
  const char* racing;
  const char* expected;
};

constexpr CancelCase kCancelCases[] = {
    {"pending", "", "", "cancelled"},
    {"running", "placed running", "", "stopping"},
    {"checkpointed", "placed running checkpointed", "", "cancelled"},
    {"finished", "placed running finished", "", "finished"},
    {"loses to the placement", "", "placed", "stopping"},
    {"loses to the start", "placed", "running", "stopping"},
    {"loses to the end", "placed running", "finished", "finished"},
    {"loses to a refusal", "", "refused", "refused"},
    {"loses to another cancellation", "", "cancelled", "cancelled"},
};

// Takes the job through states given by their names.
void Change(JobStore& jobs, absl::string_view states) {
  for (const absl::string_view name :
       absl::StrSplit(states, ' ', absl::SkipEmpty())) {
    const StoredJob job = *jobs.Read(kProject, JobId("a"));
    JobRecord record = job.record;
    record.state = JobState::kPending;
    while (JobStateName(record.state) != name) {
      record.state = static_cast<JobState>(static_cast<int>(record.state) + 1);
    }
    CPPUNIT_ASSERT(jobs.Replace(job, record));
  }
}

class JobStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JobStoreTest);
  CPPUNIT_TEST(RecordSurvivesFormatting);
  CPPUNIT_TEST(SubmissionIsAcknowledgedOnceDurable);
  CPPUNIT_TEST(LoserOfARaceReportsTheWinner);
  CPPUNIT_TEST(TokensGrowWithEachPlacement);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against members that are lost on the way, and against records that
  // stop the reader.
  void RecordSurvivesFormatting() {
    JobRecord job = MakeJob("a", 1.5, true);
    job.command = "\xff";
    job.failures = {{InstanceId("w"), "exit \"1\""}};
    job.after_stop = JobState::kCancelled;
    job.preemption = Preemption::kCheckpointing;
    const std::string text = FormatJob(job);
    CPPUNIT_ASSERT_EQUAL(text, FormatJob(*ParseJob(text)));
    for (const std::string& bad :
         {std::string(), "[]"s, "{\"v\":2}"s, "{\"v\":\"1\"}"s,
          std::string(text).replace(text.find("pending"), 7, "pendinx"),
          std::string(text).replace(text.find("\"cores\":1.5"), 11,
                                    "\"cores\":\"1\"")}) {
      CPPUNIT_ASSERT_MESSAGE(bad, !ParseJob(bad));
    }
  }

  // Guards against an acknowledged submission that is lost, and against two
  // jobs under one id.
  void SubmissionIsAcknowledgedOnceDurable() {
    for (const SubmitCase& c : kSubmitCases) {
      FakeKeyValueStore store;
      JobStore jobs(store, "e1", kTimeout);
      store.QueueWriteFault(c.fault);
      store.SetDown(c.down);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.told),
                                   Told(jobs.Submit(MakeJob("a", 1))));
      store.SetDown(false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.again),
                                   Told(jobs.Submit(MakeJob("a", 1))));
    }
  }

  // Guards against a cancellation that overwrites a change it has not seen, or
  // reports a state that is not the record's.
  void LoserOfARaceReportsTheWinner() {
    for (const CancelCase& c : kCancelCases) {
      FakeKeyValueStore store;
      JobStore jobs(store, "e1", kTimeout);
      CPPUNIT_ASSERT(jobs.Submit(MakeJob("a", 1)));
      Change(jobs, c.before);
      store.BeforeNextWrite([&] { Change(jobs, c.racing); });
      const std::string told = Told(jobs.Cancel(kProject, JobId("a")));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.expected), told);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, told,
                                   Told(jobs.Read(kProject, JobId("a"))));
      CPPUNIT_ASSERT_EQUAL(told, Told(jobs.Cancel(kProject, JobId("a"))));
    }
  }

  // Guards against a placement that an earlier one's calls can still reach.
  void TokensGrowWithEachPlacement() {
    FakeKeyValueStore store;
    JobStore jobs(store, "e1", kTimeout);
    StoredJob job = *jobs.Submit(MakeJob("a", 1));
    uint64_t last = 0;
    for (int round = 0; round < 2; ++round) {
      for (const JobState state :
           {JobState::kPlaced, JobState::kRunning, JobState::kRunning,
            JobState::kCheckpointed}) {
        JobRecord record = job.record;
        record.state = state;
        job = *jobs.Replace(job, record);
        if (state == JobState::kPlaced) {
          CPPUNIT_ASSERT(FencingToken(job) > last);
          last = job.revision;
        }
        CPPUNIT_ASSERT_EQUAL(last, FencingToken(job));
      }
    }
    JobRecord record = job.record;
    record.state = JobState::kRunning;
    CPPUNIT_ASSERT_EQUAL("invalid"s, Told(jobs.Replace(job, record)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobStoreTest);

}  // namespace
}  // namespace figflow
