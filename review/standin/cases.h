#ifndef REVIEW_STANDIN_CASES_H_
#define REVIEW_STANDIN_CASES_H_

#include <map>
#include <string>
#include <vector>

#include "daemons.h"
#include "store.h"
#include "world.h"

namespace review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Configuration and executors are known everywhere, and pools have owners.
constexpr int64_t kSettleMs = 4000;

struct Case {
  Store& store;
  World& world;
  Record& record;
  Daemons& daemons;
  // False: the same without the disruption.
  bool trouble = true;

  // The operator's writes.
  void PutConfig(uint64_t version,
                 const nlohmann::json& routes,
                 const nlohmann::json& services);
  // A client's calls on the queue with prefix /PATH/. They are recorded.
  Response Post(int daemon,
                const std::string& path,
                const std::string& job,
                const nlohmann::json& steps);
  Response Get(int daemon, const std::string& path, const std::string& job);
  Response Delete(int daemon, const std::string& path, const std::string& job);
  // Waits until so many tasks of the job run. False if they don't in time.
  bool WaitRunning(const std::string& job, int tasks, int64_t ms);
};

nlohmann::json Route(const std::string& name,
                     const std::string& path,
                     const std::string& service);
nlohmann::json Service(const std::string& name, bool guards, bool spare);
nlohmann::json Step(int count, int64_t cpu, int64_t work_ms);
std::string Number(int64_t number);

int RunRepoint(Case& test);
int RunAdvice(Case& test);
int RunHolders(Case& test);
int RunForeign(Case& test);
int RunGone(Case& test);

// Trials that are no cases; REPORT.md names them.
int RunLimit(Case& test);
int RunGang(Case& test);
int RunPending(Case& test);
int RunDrain(Case& test);

}  // namespace review

#endif  // REVIEW_STANDIN_CASES_H_
