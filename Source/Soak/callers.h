#ifndef SOAK_CALLERS_H_
#define SOAK_CALLERS_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Http/http_client.h"
#include "Scheduling/job.h"
#include "Soak/real_time.h"
#include "StandIns/Fleet/promises.h"
#include "StandIns/Fleet/virtual_time.h"

namespace figflow::soak {

// What went on beside a call: the daemons' machines, links and platform.
class Disturbance {
 public:
  // Nothing before `until` counts as calm.
  void Extend(MonoTime until) { until_ = std::max(until_, until); }
  MonoTime until() const { return until_; }
  // Whether all was calm from `window` before `since` until now.
  bool CalmSince(MonoTime since, MonoTime::duration window) const {
    return until_ < since - window;
  }

 private:
  MonoTime until_ = MonoTime::min();
};

struct CallerOptions {
  std::vector<std::string> addresses;
  int queues = 1;
  // Mean time between two jobs.
  std::chrono::milliseconds interval{150};
  // Time in which most jobs go to one queue and are larger, before it is the
  // next queue's turn; 0 for none.
  std::chrono::milliseconds peak{0};
};

struct CallerCounts {
  int submitted = 0;
  int accepted = 0;
  int refused = 0;
  int cancelled = 0;
  int calls = 0;
  int cut = 0;
  // Calls without a response in time.
  int late = 0;
};

// Callers that hand jobs in over connections that stay open until the daemon
// ends them, again at other daemons after an unknown outcome, ask for states
// and cancel. Used on the thread of `loop`.
class Callers {
 public:
  using Report = std::function<void(const std::string& what)>;

  Callers(RealTime& loop,
          model::VirtualTime& time,
          model::Promises& promises,
          const Disturbance& disturbance,
          CallerOptions options,
          uint64_t seed,
          Report report);
  // Ends the calls that are under way.
  ~Callers();

  // Hands jobs in until StopSubmitting.
  void Start();
  void StopSubmitting() { submitting_ = false; }
  // Jobs whose submission has no certain outcome yet.
  int Undecided() const;
  // A job that was handed in; null if there is none.
  std::shared_ptr<const Job> Find(const std::string& id) const;
  const CallerCounts& counts() const { return counts_; }

 private:
  struct Entry {
    std::shared_ptr<Job> job;
    // Gives up after a refusal if no other attempt may have been taken.
    bool gives_up = false;
    // An attempt had no certain outcome.
    bool unknown = false;
    bool accepted = false;
    bool refused = false;
    bool over = false;
    MonoTime accepted_at;
    // When its end was first shown.
    MonoTime over_at;
  };
  struct Reply {
    int status = 0;
    bool sent = false;
    std::string body;
  };
  using ReplyCallback = std::function<void(const Reply&)>;

  JobSpec MakeJob();
  // Makes a job one of the peak at the present time.
  void JoinPeak(JobSpec* spec) const;
  void SubmitNext();
  void Submit(const std::string& id);
  void OnSubmitted(const std::string& id, const Reply& reply);
  void Poll(const std::string& id);
  void Cancel(const std::string& id);
  void Call(const std::string& method,
            const Entry& entry,
            const std::string& body,
            ReplyCallback done);
  int Random(int low, int high);
  bool Chance(double share) { return Random(0, 999) < share * 1000; }

  RealTime& loop_;
  model::VirtualTime& time_;
  model::Promises& promises_;
  const Disturbance& disturbance_;
  const CallerOptions options_;
  const Report report_;
  std::mt19937_64 random_;
  const SystemClock clock_;
  const MonoTime begun_ = time_.Now();
  bool submitting_ = true;
  std::map<std::string, Entry> entries_;
  CallerCounts counts_;
  MetricsRegistry metrics_;
  std::unique_ptr<HttpClient> client_;
};

}  // namespace figflow::soak

#endif  // SOAK_CALLERS_H_
