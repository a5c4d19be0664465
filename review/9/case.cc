// A start order without an answer is carried out late, by the next life of its
// executor.
#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "../standin-2/play.h"

namespace {

using namespace standin;

constexpr char kPool[] = "mill";
constexpr char kTask[] = "0000000000000001.0.0.0";
constexpr int64_t kWork = 14000;
constexpr int64_t kShortWork = 300;
// One of them crashes.
constexpr int kExecutors = 17;
// Beside the task, so that its first order is a small share of all.
constexpr int kShortJobs = 12;
constexpr int kShortTasks = 2;
// Span in which orders are counted.
constexpr int64_t kOrders = 5500;
// After the first start order.
constexpr int64_t kCrashAt = 1000;
constexpr int64_t kAgainAt = 5500;
constexpr int64_t kCarriedOutAt = 7500;
constexpr int64_t kPlay = 25000;

// The address of an executor's machine. Its lives come one after the other.
class Machine {
 public:
  Machine(Play* play, const std::string& id)
      : play_(play), server_([this](const Request& r) { return Handle(r); }) {
    options_.id = id;
    options_.service = kPool;
    options_.machine = "machine-of-" + id;
    options_.address = server_.address();
    Begin();
  }

  void Begin() {
    Executor* const life = play_->platform.Add(options_);
    const std::lock_guard<std::mutex> lock(mutex_);
    life_ = life;
    play_->cloud.Show(options_.machine, kPool, "up", options_.id);
    play_->record.Line("executor " + options_.id + " begins a life");
  }
  void Crash() {
    Executor* life = nullptr;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      life = std::exchange(life_, nullptr);
    }
    play_->cloud.Show(options_.machine, kPool, "down", "");
    life->Crash();
  }
  // Delivers the order that was held, without an answer.
  void CarryOut() {
    Executor* life = nullptr;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      life = life_;
    }
    const Response answer = life->Deliver(held_);
    play_->record.Line("the first start order is carried out at " +
                       options_.id + ": " + std::to_string(answer.status) +
                       " " + answer.body.dump());
  }

  // The machine that got the first start order of the task, and when.
  static std::atomic<Machine*> victim;
  static std::atomic<int64_t> first_order;
  // Start orders in the span that begins with it.
  static std::atomic<int> orders;

 private:
  Response Handle(const Request& request) {
    const bool start = request.Path() == "/-/run-start";
    const bool of_task = start && request.Json().value("Task", "") == kTask;
    if (start && (first_order == 0 || NowMs() < first_order + kOrders)) {
      ++orders;
    }
    if (of_task && victim == nullptr) {
      held_ = request;
      victim = this;
      first_order = NowMs();
      if (WithTrouble()) {
        play_->record.Line("a start order gets no answer: " + request.body);
        return {0, json(), true};
      }
    }
    Executor* life = nullptr;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      life = life_;
    }
    return life == nullptr ? Response{0, json(), true} : life->Deliver(request);
  }

  Play* const play_;
  ExecutorOptions options_;
  std::mutex mutex_;
  Executor* life_ = nullptr;
  Request held_;
  Server server_;
};

std::atomic<Machine*> Machine::victim{nullptr};
std::atomic<int64_t> Machine::first_order{0};
std::atomic<int> Machine::orders{0};

}  // namespace

int main(int count, char** arguments) {
  Play play(count, arguments);
  play.platform.cpu_of = [](const std::string&) { return 1000; };
  play.platform.behaviour = [](const std::string& task) {
    Behaviour behaviour;
    behaviour.work_ms = task == kTask ? kWork : kShortWork;
    return behaviour;
  };
  std::vector<std::unique_ptr<Machine>> machines;
  for (int i = 1; i <= kExecutors; ++i) {
    machines.push_back(
        std::make_unique<Machine>(&play, "i-" + std::to_string(i)));
  }
  play.Configure({kPool});
  if (!play.StartDaemons(3)) {
    play.Finish(kCouldNotRun, "the daemons did not become ready");
  }
  const auto job = [](int tasks, int64_t work) {
    return json{{"Spec", "pulp"},
                {"Steps",
                 {{{"Count", tasks},
                   {"Cpu", 1000},
                   {"MemMb", 64},
                   {"EstimateMs", work}}}}};
  };
  bool accepted = play.Submit(kPool, JobId(1), job(1, kWork));
  for (int i = 1; i <= kShortJobs; ++i) {
    accepted = accepted &&
               play.Submit(kPool, JobId(1 + i), job(kShortTasks, kShortWork));
  }
  if (!accepted) {
    play.Finish(kCouldNotRun, "a job was not accepted");
  }
  const int64_t limit = NowMs() + 10000;
  while (Machine::first_order == 0 && NowMs() < limit) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  if (Machine::first_order == 0) {
    play.Finish(kCouldNotRun, "the task was not ordered");
  }
  const int64_t begin = Machine::first_order;
  if (WithTrouble()) {
    Machine& victim = *Machine::victim;
    SleepUntil(begin + kCrashAt);
    victim.Crash();
    SleepUntil(begin + kAgainAt);
    victim.Begin();
    SleepUntil(begin + kCarriedOutAt);
    victim.CarryOut();
  }
  SleepUntil(begin + kPlay);
  const std::string state = play.State(kPool, JobId(1));
  const std::lock_guard<std::mutex> lock(play.platform.mutex);
  int64_t overlap = 0;
  const std::vector<RunSeen>& runs = play.platform.runs;
  const auto end_of = [](const RunSeen& run) {
    return run.ended < 0 ? NowMs() : run.ended;
  };
  for (size_t i = 0; i < runs.size(); ++i) {
    for (size_t k = 0; k < i; ++k) {
      const int64_t both = std::min(end_of(runs[i]), end_of(runs[k])) -
                           std::max(runs[i].began, runs[k].began);
      if (runs[i].task == kTask && runs[k].task == kTask && both > 0) {
        overlap += both;
        play.record.Line(
            "TWICE run " + std::to_string(runs[k].run) + " on " +
            runs[k].executor + " and run " + std::to_string(runs[i].run) +
            " on " + runs[i].executor + " for " + std::to_string(both) + " ms");
      }
    }
  }
  play.Finish(overlap > 0            ? kBroken
              : state == "completed" ? kHeld
                                     : kCouldNotRun,
              std::to_string(runs.size()) + " runs, two at the same time for " +
                  std::to_string(overlap) + " ms, job " + state + ", " +
                  std::to_string(Machine::orders) +
                  " start orders in the span of the late one");
}
