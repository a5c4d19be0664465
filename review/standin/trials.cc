// Trials of faults that are no cases; REPORT.md names them.
#include <signal.h>

#include "cases.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int64_t kStableWindowMs = 3000;

}  // namespace

// A job is cancelled, and the daemon that stops its tasks is restarted.
int RunLimit(Case& test) {
  const std::string first = "8f31ad540c7e6921";
  const std::string second = "9042be651d8f7a32";
  test.world.AddExecutor("svc-a", "m-1", 4000, false);
  test.PutConfig(3, json::array({Route("r-queue", "queue", "svc-a")}),
                 json::array({Service("svc-a", false, false)}));
  test.daemons.Start(3);
  SleepMs(kSettleMs);
  test.world.AddJob(first, {{1000, 60000, false, 4, false, false}});
  test.world.AddJob(second, {{1000, 2000, false, 4, false, false}});
  if (test.Post(0, "queue", first, json::array({Step(4, 1000, 60000)}))
              .status != 200 ||
      !test.WaitRunning(first, 4, 5000) ||
      test.Post(1, "queue", second, json::array({Step(4, 1000, 2000)}))
              .status != 200) {
    return kCouldNotRun;
  }
  SleepMs(1000);
  const int owner = test.daemons.Index(test.daemons.WriterOf("svc-a"));
  const int client = owner == 0 ? 1 : 0;
  if (test.Delete(client, "queue", first).status != 200) {
    return kCouldNotRun;
  }
  if (test.trouble) {
    SleepMs(100);
    test.daemons.Signal(owner, SIGTERM);
  }
  SleepMs(6000);
  bool broken = false;
  int begun = 0;
  for (const Start& start : test.world.Starts()) {
    begun += start.task.compare(0, second.size(), second) == 0 ? 1 : 0;
    if (start.cpu_used > start.capacity) {
      test.record.Line("CHECK LIMIT: the start of " + start.task + " at " +
                       Number(start.at - test.record.start()) + " ms brings " +
                       start.executor + " to " + Number(start.cpu_used) +
                       " of " + Number(start.capacity));
      broken = true;
    }
  }
  if (begun == 0) {
    return kCouldNotRun;
  }
  return broken ? kBroken : kHeld;
}

// The machine of a gang's member has its upkeep.
int RunGang(Case& test) {
  const std::string job = "a153cf762e908b43";
  for (const char* machine : {"m-1", "m-2", "m-3", "m-4"}) {
    test.world.AddExecutor("svc-a", machine, 1000, true);
  }
  test.PutConfig(3, json::array({Route("r-queue", "queue", "svc-a")}),
                 json::array({Service("svc-a", true, false)}));
  test.daemons.Start(3);
  SleepMs(kSettleMs);
  json step = Step(2, 1000, 12000);
  step["Gang"] = true;
  step["SavesProgress"] = true;
  test.world.AddJob(job, {{1000, 12000, true, 2, true, false}});
  if (test.Post(0, "queue", job, json::array({step})).status != 200 ||
      !test.WaitRunning(job, 2, 5000)) {
    return kCouldNotRun;
  }
  SleepMs(3000);
  const std::string executor = test.world.Starts().front().executor;
  // Machines have the numbers of their first executors.
  const std::string machine = "m-" + executor.substr(2);
  if (test.trouble) {
    test.store.Put("op/wave/1", {{"Wave", 1},
                                 {"Machines", json::array({machine})},
                                 {"CompleteByS", 20},
                                 {"Cap", 1}});
    test.record.Line("wave 1 for " + machine + " is acknowledged");
  }
  SleepMs(30000);
  const std::vector<InstanceOrder> orders = test.world.Orders();
  const int64_t calm =
      orders.empty() ? 0 : orders.back().at + kUpkeepMs + kStableWindowMs;
  bool broken = false;
  for (const Start& start : test.world.Starts()) {
    // Both the start and its end are clear of the upkeep.
    if (start.how == "alone" && start.at > calm) {
      test.record.Line("CHECK GANG: " + start.task + " run " +
                       Number(start.run) + " with checkpoint '" +
                       start.checkpoint + "' ends alone");
      broken = true;
    }
  }
  test.Get(0, "queue", job);
  if (test.trouble && orders.empty()) {
    return kCouldNotRun;
  }
  return broken ? kBroken : kHeld;
}

// All executors of a rack go dark, and the owner of their pool is killed.
int RunPending(Case& test) {
  constexpr int kJobs = 6;
  constexpr int64_t kVisibleMs = 3000;
  const std::string prefix = "b264d087";
  std::vector<std::string> executors;
  for (const char* machine : {"m-1", "m-2", "m-3", "m-4"}) {
    executors.push_back(test.world.AddExecutor("svc-a", machine, 8000, true));
  }
  test.PutConfig(3, json::array({Route("r-queue", "queue", "svc-a")}),
                 json::array({Service("svc-a", true, false)}));
  test.daemons.Start(3);
  SleepMs(kSettleMs);
  const int owner = test.daemons.Index(test.daemons.WriterOf("svc-a"));
  for (const std::string& executor : executors) {
    test.world.Crash(executor);
  }
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = prefix + "3fa19c5" + Number(i);
    test.world.AddJob(job, {{1000, 1000, false, 1, false, false}});
    if (test.Post(0, "queue", job, json::array({Step(1, 1000, 1000)})).status !=
        200) {
      return kCouldNotRun;
    }
  }
  const int64_t accepted = NowMs();
  SleepMs(2000);
  const int killed =
      owner >= 0 ? owner : test.daemons.Index(test.daemons.WriterOf("svc-a"));
  if (test.trouble) {
    test.daemons.Signal(killed, SIGKILL);
  }
  while (NowMs() < accepted + kVisibleMs + 2000 + 100) {
    SleepMs(10);
  }
  bool broken = false;
  for (int round = 0; round < 4; ++round) {
    for (int i = 0; i < test.daemons.count(); ++i) {
      if (test.trouble && i == killed) {
        continue;
      }
      const Response response = test.Get(i, "queue", "");
      if (response.status == 200 &&
          json::parse(response.body).at("Pending").get<int>() * 2 < kJobs) {
        test.record.Line("CHECK MIXED: Pending is under half of " +
                         Number(kJobs) + " jobs that haven't begun");
        broken = true;
      }
    }
    SleepMs(300);
  }
  return broken ? kBroken : kHeld;
}

// An executor leaves orders unanswered for some seconds, and drains meanwhile.
int RunDrain(Case& test) {
  constexpr int kExecutors = 10;
  constexpr int64_t kDrainMs = 2000;
  const std::string first = "c375e19a842fb065";
  const std::string second = "e5971c3da642fb87";
  for (int i = 0; i < kExecutors; ++i) {
    test.world.AddExecutor("svc-a", "m-" + Number(i), 4000, true);
  }
  test.PutConfig(3, json::array({Route("r-queue", "queue", "svc-a")}),
                 json::array({Service("svc-a", true, false)}));
  test.daemons.Start(3);
  SleepMs(kSettleMs);
  test.world.AddJob(first, {{1000, 20000, false, 1, false, false}});
  test.world.AddJob(second, {{1000, 1000, false, 1, false, false}});
  if (test.Post(0, "queue", first, json::array({Step(1, 1000, 20000)}))
              .status != 200 ||
      !test.WaitRunning(first, 1, 5000)) {
    return kCouldNotRun;
  }
  const std::string executor = test.world.Starts().front().executor;
  SleepMs(1000);
  if (test.trouble) {
    test.world.Hang(executor, true);
  }
  if (test.Post(0, "queue", second, json::array({Step(1, 1000, 1000)}))
          .status != 200) {
    return kCouldNotRun;
  }
  SleepMs(300);
  test.world.Drain(executor);
  const int64_t drains = NowMs();
  SleepMs(3300);
  if (test.trouble) {
    test.world.Hang(executor, false);
  }
  SleepMs(5000);
  bool broken = false;
  for (const Start& start : test.world.Starts()) {
    if (start.executor == executor && start.at > drains + kDrainMs) {
      test.record.Line("CHECK DRAIN: " + start.task + " starts on " + executor +
                       " " + Number(start.at - drains) +
                       " ms after it was known to drain");
      broken = true;
    }
  }
  return broken ? kBroken : kHeld;
}

}  // namespace review
