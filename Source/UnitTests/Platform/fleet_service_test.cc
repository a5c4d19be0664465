#include <fstream>
#include <sstream>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Platform/platform_fixture.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::CodeOf;
using test::ManualClock;
using test::PlatformFixture;

constexpr milliseconds kTimeout{2'000};

standin::StandinSettings DemoFleet() {
  std::ifstream file(FIGFLOW_EXAMPLES "/demo-fleet.json");
  std::stringstream text;
  text << file.rdbuf();
  auto settings = standin::ParseStandinSettings(text.str());
  CPPUNIT_ASSERT(settings);
  settings->listen = "127.0.0.1:0";
  return *settings;
}

// "live:1" for state and boot number.
std::string Listed(PlatformFixture& platform, const char* id) {
  static constexpr const char* states[] = {"live", "leaving", "gone"};
  const auto list =
      platform.fleet.ListInstances(DataCentreId("dc-a"), kTimeout);
  CPPUNIT_ASSERT(list);
  for (const ListedInstance& instance : *list) {
    if (instance.id.value() == id) {
      return absl::StrCat(states[static_cast<int>(instance.state)], ":",
                          instance.boot);
    }
  }
  return "absent";
}

class FleetServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetServiceTest);
  CPPUNIT_TEST(ListsInstancesOfADataCentre);
  CPPUNIT_TEST(ListLagsAndMayBeStale);
  CPPUNIT_TEST(RebootsOncePerOperation);
  CPPUNIT_TEST(TasksAreFenced);
  CPPUNIT_TEST(TasksRunUnderLeases);
  CPPUNIT_TEST(UsageLagsAndCheckpointsKeepProgress);
  CPPUNIT_TEST(BadWorkersAndBadSizesFail);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ListsInstancesOfADataCentre() {
    PlatformFixture platform(DemoFleet(), clock_);
    const auto list =
        platform.fleet.ListInstances(DataCentreId("dc-b"), kTimeout);
    CPPUNIT_ASSERT(list);
    CPPUNIT_ASSERT_EQUAL(size_t{7}, list->size());
    const ListedInstance& worker = list->back();
    CPPUNIT_ASSERT_EQUAL(std::string("worker-b5"), worker.id.value());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:19110"), worker.address);
    CPPUNIT_ASSERT_EQUAL(8, worker.slots);
    CPPUNIT_ASSERT_EQUAL(64, worker.connections);
    CPPUNIT_ASSERT_EQUAL(1, worker.accelerators);
    CPPUNIT_ASSERT(list->front().role == InstanceRole::kEntry);
  }

  void ListLagsAndMayBeStale() {
    PlatformFixture platform(DemoFleet(), clock_);
    platform.Control("/standin/instance",
                     R"({"id":"worker-a1","state":"leaving"})");
    clock_.Advance(milliseconds(1'999));
    CPPUNIT_ASSERT_EQUAL(std::string("live:1"), Listed(platform, "worker-a1"));
    clock_.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("leaving:1"),
                         Listed(platform, "worker-a1"));
    platform.Control("/standin/fault", R"({"stale_list":true})");
    platform.Control("/standin/instance",
                     R"({"id":"worker-a1","state":"gone"})");
    clock_.Advance(seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::string("leaving:1"),
                         Listed(platform, "worker-a1"));
    platform.Control("/standin/fault", R"({"stale_list":false})");
    CPPUNIT_ASSERT_EQUAL(std::string("gone:1"), Listed(platform, "worker-a1"));
  }

  // Guards against a repeated or late call taking an instance down again,
  // outside its reservation.
  void RebootsOncePerOperation() {
    PlatformFixture platform(DemoFleet(), clock_);
    const auto reboot = [&](const char* operation, milliseconds until) {
      return CodeOf(platform.fleet.Reboot(
          {InstanceId("worker-a1"), OperationId(operation),
           clock_.WallNow() + until},
          kTimeout));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("deadline-exceeded"),
                         reboot("late", milliseconds(-1)));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), reboot("op1", seconds(1)));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), reboot("op2", seconds(1)));
    clock_.Advance(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::string("gone:1"), Listed(platform, "worker-a1"));
    clock_.Advance(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::string("live:2"), Listed(platform, "worker-a1"));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), reboot("op1", milliseconds(-1)));
    clock_.Advance(seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::string("live:2"), Listed(platform, "worker-a1"));
    CPPUNIT_ASSERT_EQUAL(
        std::string("not-found"),
        CodeOf(platform.fleet.Reboot({InstanceId("none"), OperationId("op3"),
                                      clock_.WallNow() + seconds(1)},
                                     kTimeout)));
  }

  // Guards against a holder that was replaced acting on the job again.
  void TasksAreFenced() {
    PlatformFixture platform(DemoFleet(), clock_);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Start(platform, 5, "run_ms=100"));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Start(platform, 5, "run_ms=100"));
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"), Start(platform, 4, ""));
    const JobId job("j");
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         CodeOf(platform.fleet.StopTask(job, 4, kTimeout)));
    CPPUNIT_ASSERT_EQUAL(std::string("running"), State(platform));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         CodeOf(platform.fleet.StopTask(job, 5, kTimeout)));
    CPPUNIT_ASSERT_EQUAL(std::string("stopped"), State(platform));
    CPPUNIT_ASSERT_EQUAL(
        std::string("not-found"),
        CodeOf(platform.fleet.StopTask(JobId("x"), 5, kTimeout)));
  }

  void TasksRunUnderLeases() {
    PlatformFixture platform(DemoFleet(), clock_);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Start(platform, 1, "run_ms=9000"));
    clock_.Advance(milliseconds(2'900));
    CPPUNIT_ASSERT(platform.fleet.RenewTask(JobId("j"), 1, kTimeout));
    clock_.Advance(milliseconds(2'900));
    CPPUNIT_ASSERT_EQUAL(std::string("running"), State(platform));
    clock_.Advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::string("stopped:the lease has lapsed"),
                         State(platform));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         Start(platform, 2, "run_ms=10 fail=disk"));
    clock_.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("failed:disk"), State(platform));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Start(platform, 3, "run_ms=10"));
    clock_.Advance(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), State(platform));
  }

  void UsageLagsAndCheckpointsKeepProgress() {
    standin::StandinSettings settings = DemoFleet();
    settings.usage_lag = milliseconds(1'000);
    PlatformFixture platform(settings, clock_);
    const JobId job("j");
    (void)Start(platform, 1, "run_ms=2500 cores=3");
    clock_.Advance(milliseconds(999));
    CPPUNIT_ASSERT_EQUAL(0.0, Report(platform).usage.cores);
    clock_.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(3.0, Report(platform).usage.cores);
    CPPUNIT_ASSERT(platform.fleet.ThrottleTask(job, 1, kTimeout));
    CPPUNIT_ASSERT(Report(platform).usage.cores < 1);
    CPPUNIT_ASSERT(platform.fleet.CheckpointTask(job, 1, kTimeout));
    CPPUNIT_ASSERT_EQUAL(std::string("checkpointed"), State(platform));
    (void)Start(platform, 2, "run_ms=2500");
    clock_.Advance(milliseconds(1'500));
    CPPUNIT_ASSERT_EQUAL(std::string("done"), State(platform));
  }

  void BadWorkersAndBadSizesFail() {
    PlatformFixture platform(DemoFleet(), clock_);
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         Start(platform, 1, "memory_mb=999999"));
    CPPUNIT_ASSERT_EQUAL(std::string("failed:out of memory"), State(platform));
    TaskStart huge{JobId("h"), InstanceId("worker-a1"), 1, {65, 1, 0}, "",
                   seconds(3)};
    CPPUNIT_ASSERT_EQUAL(std::string("resource-exhausted"),
                         CodeOf(platform.fleet.StartTask(huge, kTimeout)));
    platform.Control("/standin/instance",
                     R"({"id":"worker-a1","fails_tasks":true})");
    CPPUNIT_ASSERT_EQUAL(std::string("ok"), Start(platform, 2, ""));
    CPPUNIT_ASSERT_EQUAL(std::string("failed:the worker fails every task"),
                         State(platform));
  }

 private:
  std::string Start(PlatformFixture& platform,
                    uint64_t token,
                    const char* command) {
    const TaskStart start{JobId("j"), InstanceId("worker-a1"),
                          token,      {1, 100, 0},
                          command,    seconds(3)};
    return CodeOf(platform.fleet.StartTask(start, kTimeout));
  }

  TaskReport Report(PlatformFixture& platform) {
    const auto tasks = platform.fleet.ListTasks(DataCentreId("dc-a"), kTimeout);
    CPPUNIT_ASSERT(tasks && tasks->size() == 1);
    return tasks->front();
  }

  // State of the only task, with its failure if there is one.
  std::string State(PlatformFixture& platform) {
    static constexpr const char* states[] = {
        "running", "throttled", "checkpointed", "stopped", "done", "failed"};
    const TaskReport report = Report(platform);
    return absl::StrCat(states[static_cast<int>(report.state)],
                        report.failure.empty() ? "" : ":", report.failure);
  }

  ManualClock clock_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetServiceTest);

}  // namespace
}  // namespace figflow
