// Jobs of a queue with a placement policy come at once.
#include <algorithm>
#include <condition_variable>
#include <map>
#include <string>
#include <thread>

#include "../standin-2/play.h"

namespace {

using namespace standin;

constexpr char kPool[] = "mill";
constexpr int kExecutors = 8;
constexpr int kJobs = 40;
constexpr int kTasks = 2;
constexpr int kCpu = 1000;
constexpr int64_t kWork = 300;
// The queue's policy. The validity is that of the example on the page.
constexpr int64_t kDecide = 100;
constexpr int64_t kPeriod = 15;
constexpr int64_t kValid = 3000;
constexpr uint64_t kMostWaiting = 32;
// finish_s, and how long a job may have nothing running after it.
constexpr int64_t kFinish = 14000;
constexpr int64_t kIdle = 3000;

// Answers one call at a time, in the order of their arrival. All workers may
// run all steps.
class Policy {
 public:
  explicit Policy(Play* play)
      : play_(play), server_([this](const Request& r) { return Handle(r); }) {}
  std::string address() const { return server_.address(); }

  // Whether the ticket allows a start on this executor now.
  bool Valid(const std::string& executor, const std::string& ticket) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto issued = issued_.find(ticket);
    return issued != issued_.end() && ticket.rfind(executor + "-", 0) == 0 &&
           NowMs() <= issued->second + kValid;
  }

 private:
  Response Handle(const Request& request) {
    const int64_t arrived = NowMs();
    std::unique_lock<std::mutex> lock(mutex_);
    if (last_ - served_ > kMostWaiting) {
      return {429, json::object(), false};
    }
    const uint64_t number = ++last_;
    turn_.wait(lock, [&] { return served_ + 1 == number; });
    lock.unlock();
    const json workers = request.Json().at("Workers");
    const auto count = static_cast<int64_t>(workers.size());
    std::this_thread::sleep_for(milliseconds(kDecide + kPeriod * count));
    lock.lock();
    json good = json::array();
    for (const json& worker : workers) {
      const std::string ticket =
          worker.get<std::string>() + "-" + std::to_string(++tickets_);
      issued_[ticket] = NowMs();
      good.push_back({worker, ticket});
    }
    ++served_;
    turn_.notify_all();
    play_->record.Line("advice on " +
                       request.Json().at("Step").get<std::string>() + " for " +
                       std::to_string(count) + " workers after " +
                       std::to_string(NowMs() - arrived) + " ms");
    return {200, {{"Good", std::move(good)}, {"ValidMs", kValid}}, false};
  }

  Play* const play_;
  std::mutex mutex_;
  std::condition_variable turn_;
  uint64_t last_ = 0;
  uint64_t served_ = 0;
  uint64_t tickets_ = 0;
  std::map<std::string, int64_t> issued_;
  Server server_;
};

}  // namespace

int main(int count, char** arguments) {
  Play play(count, arguments);
  Policy policy(&play);
  play.daemons.SetPolicyAddress(policy.address());
  play.platform.cpu_of = [](const std::string&) { return kCpu; };
  play.platform.behaviour = [](const std::string&) {
    Behaviour behaviour;
    behaviour.work_ms = kWork;
    return behaviour;
  };
  play.platform.ticket_holds = [&](const std::string& executor,
                                   const std::string& ticket) {
    return policy.Valid(executor, ticket);
  };
  for (int i = 1; i <= kExecutors; ++i) {
    play.cloud.Add("m-" + std::to_string(i), kPool, false);
  }
  play.Configure(
      {kPool},
      {{"DecideMs", kDecide}, {"PeriodMs", kPeriod}, {"ValidMs", kValid}});
  if (!play.StartDaemons(3)) {
    play.Finish(kCouldNotRun, "the daemons did not become ready");
  }
  for (int i = 1; i <= kJobs; ++i) {
    const json job = {{"Spec", "pulp"},
                      {"Steps",
                       {{{"Count", kTasks},
                         {"Cpu", kCpu},
                         {"MemMb", 64},
                         {"EstimateMs", kWork}}}}};
    if (!play.Submit(kPool, JobId(i), job)) {
      play.Finish(kCouldNotRun, "a job was not accepted");
    }
    SleepUntil(NowMs() + (WithTrouble() ? 0 : 1000));
  }
  const int64_t end_of_traffic = NowMs();
  // How long each job has had nothing running, and the longest such time.
  std::map<std::string, int64_t> idle;
  int64_t most_idle = 0;
  while (NowMs() < end_of_traffic + kFinish + 4 * kIdle) {
    SleepUntil(NowMs() + 100);
    const std::lock_guard<std::mutex> lock(play.platform.mutex);
    for (int i = 1; i <= kJobs; ++i) {
      int done = 0;
      int running = 0;
      for (const RunSeen& run : play.platform.runs) {
        if (run.task.rfind(JobId(i), 0) == 0) {
          running += run.ended < 0 ? 1 : 0;
          done += run.how == "done" ? 1 : 0;
        }
      }
      int64_t& since = idle[JobId(i)];
      const bool must_run =
          NowMs() > end_of_traffic + kFinish && running == 0 && done < kTasks;
      since = must_run ? since + 100 : 0;
      most_idle = std::max(most_idle, since);
    }
  }
  int completed = 0;
  for (int i = 1; i <= kJobs; ++i) {
    completed += play.State(kPool, JobId(i)) == "completed" ? 1 : 0;
  }
  play.Finish(most_idle >= kIdle   ? kBroken
              : completed == kJobs ? kHeld
                                   : kCouldNotRun,
              std::to_string(completed) + " of " + std::to_string(kJobs) +
                  " jobs completed; after finish_s a job had nothing running "
                  "for " +
                  std::to_string(most_idle) + " ms");
}
