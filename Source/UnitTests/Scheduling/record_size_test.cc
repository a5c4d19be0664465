// Tests that each record and each write stays within the limits of the store.
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Scheduling/record_size.h"
#include "Scheduling/scheduler_driver.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using std::chrono::milliseconds;

// Largest value that the store of the deployments takes.
constexpr size_t kStoreValueBytes = 1'048'576;

// Returns a job whose tasks all fit into one worker.
JobSpec TinyTasks(const std::string& id, int tasks) {
  JobSpec spec = SchedulerDriver::OneTask(id);
  spec.stages[0].count = tasks;
  spec.stages[0].per_task = {0, 0, 0};
  spec.stages[0].saves_progress = true;
  return spec;
}

class RecordSizeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordSizeTest);
  CPPUNIT_TEST(LargeJobRunsInPartsThatFit);
  CPPUNIT_TEST(StoppedTasksBeginAgainInAFullRecord);
  CPPUNIT_TEST(LongCheckpointsStayWithinTheRecord);
  CPPUNIT_TEST(WritesStayWithinTheLimit);
  CPPUNIT_TEST(RefusedRecordBecomesSmaller);
  CPPUNIT_TEST(JobsGoOnAfterRefusalsOfAllRecords);
  CPPUNIT_TEST(GangThatNeverFitsIsRefused);
  CPPUNIT_TEST(JobsThatNeverFitAreMalformed);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a record that the store does not take: all tasks of a job
  // have a worker with a long id and a checkpoint.
  void LargeJobRunsInPartsThatFit() {
    SchedulerDriver driver(kStart);
    StartLargeJob(driver);
    size_t number = 0;
    size_t done = 0;
    while (done < 20'000) {
      std::vector<StartOrder> starts;
      WorkerStatus running;
      while (!driver.starts.empty()) {
        for (const StartOrder& start : std::exchange(driver.starts, {})) {
          driver.RespondToStart(start);
          running.running.push_back(WithCheckpoint(start));
          starts.push_back(start);
        }
      }
      CPPUNIT_ASSERT(!starts.empty());
      Respond(driver, running);
      size_t ended = 0;
      // The end of one task writes the checkpoints of all.
      Respond(driver, EndAll(starts, 1, &number, &ended));
      WriteRecords(driver);
      Respond(driver, EndAll(starts, starts.size(), &number, &ended));
      WriteRecords(driver);
      done += starts.size();
    }
    CPPUNIT_ASSERT(driver.scheduler().Query("a")->status ==
                   JobStatus::kCompleted);
  }

  // Guards against a job that waits for ever, as its record is full of tasks
  // that were stopped.
  void StoppedTasksBeginAgainInAFullRecord() {
    SchedulerDriver driver(kStart);
    StartLargeJob(driver);
    const JobRecords records = driver.records().at("a");
    Job job;
    job.SetSpec(TinyTasks("a", 20'000));
    CPPUNIT_ASSERT(
        ApplyProgress(records.progress.empty()
                          ? ParseAcceptedJob(records.accepted)->progress
                          : records.progress,
                      job)
            .has_value());
    for (auto& task : job.occurrences.at(0).stages[0].tasks) {
      task.phase = TaskPhase::kWaiting;
    }
    JobRecords stopped = records;
    stopped.progress = FormatProgress(job);
    SchedulerDriver next(kStart, 2);
    next.Load({{"a", stopped}});
    next.ListWorker(kWorker);
    next.RespondToHold(kWorker, WorkerStatus());
    WriteRecords(next);
    CPPUNIT_ASSERT(!next.starts.empty());
    CPPUNIT_ASSERT_EQUAL(uint32_t{2}, next.starts[0].run);
  }

  // Guards against checkpoints that make a record or the pool's memory larger
  // than it may be. A shorter one is kept as before.
  void LongCheckpointsStayWithinTheRecord() {
    SchedulerDriver driver(kStart);
    driver.ListWorker(kWorker);
    driver.RespondToHold(kWorker, WorkerStatus());
    driver.Submit(TinyTasks("a", 24));
    driver.Write();
    for (const size_t length : {size_t{1'000}, size_t{200'000}}) {
      WorkerStatus status;
      for (const StartOrder& start : std::vector<StartOrder>(driver.starts)) {
        driver.RespondToStart(start);
        RunningTask running = Running(start).running[0];
        running.checkpoint = std::string(length, 'c');
        status.running.push_back(running);
      }
      Respond(driver, status);
    }
    // Any change writes the checkpoints.
    Respond(driver, Ended(driver.starts[0], RunResult::kDone));
    WriteRecords(driver);
    const std::string& record = driver.records().at("a").progress;
    CPPUNIT_ASSERT(record.find(std::string(1'000, 'c')) != std::string::npos);
    CPPUNIT_ASSERT(driver.scheduler().WorkMemoryInUse() <= kPoolWorkMemory);
  }

  // Guards against a write of many records that is far larger than any value.
  void WritesStayWithinTheLimit() {
    SchedulerDriver driver(kStart);
    for (int i = 0; i < 28; ++i) {
      JobSpec spec = TinyTasks(absl::StrCat("job", i), 1);
      spec.payload = std::string(200'000, 'p');
      driver.Submit(spec);
    }
    int records = 0;
    while (driver.scheduler().HasWrites()) {
      size_t bytes = 0;
      for (const RecordWrite& write : driver.Write()) {
        bytes += write.value.size();
        ++records;
      }
      CPPUNIT_ASSERT(bytes <= kStoreValueBytes);
    }
    CPPUNIT_ASSERT_EQUAL(28, records);
  }

  // Guards against a job that is refused again and again, as the store's limit
  // is lower than the one in the settings.
  void RefusedRecordBecomesSmaller() {
    SchedulerDriver driver(kStart);
    driver.Submit(TinyTasks("a", 5'000));
    driver.Write();
    driver.ListWorker(kWorker);
    driver.RespondToHold(kWorker, WorkerStatus());
    const size_t limit = 100'000;
    int refused = 0;
    while (driver.starts.empty() && refused < 20) {
      const std::vector<RecordWrite> writes = driver.scheduler().TakeWrites(28);
      CPPUNIT_ASSERT_EQUAL(size_t{1}, writes.size());
      if (writes[0].value.size() <= limit) {
        driver.scheduler().OnWritten(driver.now());
      } else {
        ++refused;
        driver.scheduler().OnWriteRefused(driver.now());
      }
      driver.Advance(milliseconds(2'100));
    }
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT(!driver.starts.empty());
  }

  // Guards against jobs that never go on after a time in which the store has
  // refused all writes, however small their records are.
  void JobsGoOnAfterRefusalsOfAllRecords() {
    SchedulerDriver driver(kStart);
    JobSpec gang = TinyTasks("gang", 1'000);
    gang.stages[0].gang = true;
    driver.Submit(gang);
    driver.Submit(TinyTasks("small", 10));
    driver.Write();
    driver.ListWorker(kWorker);
    driver.RespondToHold(kWorker, WorkerStatus());
    for (int i = 0; i < 20; ++i) {
      driver.scheduler().TakeWrites(28);
      driver.scheduler().OnWriteRefused(driver.now());
      driver.Advance(milliseconds(700));
    }
    CPPUNIT_ASSERT(driver.starts.empty());
    std::set<std::string> started;
    for (int i = 0; i < 60 && started.size() < 2; ++i) {
      WriteRecords(driver);
      driver.Advance(milliseconds(1'000));
      if (driver.Hold(kWorker)) {
        driver.RespondToHold(kWorker, WorkerStatus());
      }
      for (const StartOrder& start : driver.starts) {
        started.insert(start.task.job);
      }
    }
    CPPUNIT_ASSERT_EQUAL(size_t{2}, started.size());
  }

  // Guards against a gang that is accepted and can never begin.
  void GangThatNeverFitsIsRefused() {
    ExecutionBounds bounds;
    bounds.max_record_bytes = 65'536;
    SchedulerDriver driver(kStart);
    driver.scheduler().SetBounds(bounds);
    JobSpec spec = TinyTasks("a", 2'000);
    spec.stages[0].gang = true;
    driver.Submit(spec);
    CPPUNIT_ASSERT(driver.submit_responses.at(0).outcome ==
                   SubmitOutcome::kRefused);
    spec.id = "b";
    spec.stages[0].count = 200;
    driver.Submit(spec);
    driver.Write();
    CPPUNIT_ASSERT(driver.submit_responses.at(1).outcome ==
                   SubmitOutcome::kAccepted);
  }

  void JobsThatNeverFitAreMalformed() {
    JobSpec spec = TinyTasks("a", 20'000);
    CPPUNIT_ASSERT(CheckJobSpec(spec).has_value());
    spec.stages[0].gang = true;
    CPPUNIT_ASSERT(!CheckJobSpec(spec).has_value());
    spec.stages[0].count = 5'000;
    CPPUNIT_ASSERT(CheckJobSpec(spec).has_value());
    spec.id = std::string(300, 'a');
    CPPUNIT_ASSERT(!CheckJobSpec(spec).has_value());
  }

 private:
  static constexpr char kWorker[] = "worker-with-an-id-of-forty-characters-00";

  static RunningTask WithCheckpoint(const StartOrder& start) {
    RunningTask running = Running(start).running[0];
    running.checkpoint = std::string(kShortCheckpoint, 'c');
    return running;
  }

  // Returns a status that lists the ends of the first `count` runs but those
  // that have ended before.
  static WorkerStatus EndAll(const std::vector<StartOrder>& starts,
                             size_t count,
                             size_t* number,
                             size_t* ended) {
    WorkerStatus status;
    for (; *ended < count; ++*ended) {
      status.ended.push_back(
          Ended(starts[*ended], RunResult::kDone, ++*number).ended[0]);
    }
    return status;
  }

  static void Respond(SchedulerDriver& driver, const WorkerStatus& status) {
    driver.Advance(milliseconds(250));
    CPPUNIT_ASSERT(driver.Hold(kWorker).has_value());
    driver.RespondToHold(kWorker, status);
  }

  static void StartLargeJob(SchedulerDriver& driver) {
    driver.ListWorker(kWorker);
    driver.RespondToHold(kWorker, WorkerStatus());
    driver.Submit(TinyTasks("a", 20'000));
    WriteRecords(driver);
  }

  // Writes all records, which the store has to take.
  static void WriteRecords(SchedulerDriver& driver) {
    while (driver.scheduler().HasWrites()) {
      for (const RecordWrite& write : driver.Write()) {
        CPPUNIT_ASSERT(write.value.size() <= kStoreValueBytes);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordSizeTest);

}  // namespace
}  // namespace figflow::test
