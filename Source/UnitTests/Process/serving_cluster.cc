#include "Process/serving_cluster.h"

#include <chrono>
#include <stdexcept>

#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kServeBound{15};

json ParseObject(const std::string& text) {
  json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  return parsed.is_object() ? parsed : json::object();
}

}  // namespace

ServingCluster::ServingCluster(ClusterOptions options, int instances)
    : Cluster(std::move(options)) {
  Start();
  if (Apply(0, {{"shop", instances == 0 ? target_count() : instances}}) == 0) {
    throw std::runtime_error("the first sheet was refused");
  }
  for (int i = 0; i < entry_count(); ++i) {
    const auto serves = [this, i] {
      return Call("GET", Shop(i)).status == 200;
    };
    if (WaitFor(serves, kServeBound) > kServeBound) {
      throw std::runtime_error(absl::StrCat(
          "entry ", i, " does not serve: ", Call("GET", Shop(i)).body,
          "; logs in ", directory()));
    }
  }
}

std::string ServingCluster::Shop(int entry, const std::string& path) const {
  return CallerUrl(entry) + "/p/shop" + path;
}

json ServingCluster::TargetStats(int target) {
  return ParseObject(Call("GET", TargetUrl(target) + "/standin/stats").body);
}

int ServingCluster::Sum(const char* counter) {
  int sum = 0;
  for (int i = 0; i < target_count(); ++i) {
    sum += TargetStats(i).value(counter, 0);
  }
  return sum;
}

int ServingCluster::Executions(const std::string& key) {
  int sum = 0;
  for (int i = 0; i < target_count(); ++i) {
    const json executions = TargetStats(i).value("executions", json::object());
    sum += executions.value(key, 0);
  }
  return sum;
}

void ServingCluster::SetTargetMode(int target, const std::string& mode) {
  if (Call("POST", TargetUrl(target) + "/standin/mode", {}, mode).status !=
      200) {
    throw std::runtime_error("the target refused mode " + mode);
  }
}

std::string ServingCluster::Ticket(int entry) {
  return ParseObject(Call("POST", CallerUrl(entry) + "/figflow/tickets").body)
      .value("ticket", "");
}

CallResult ServingCluster::PostOnce(int entry,
                                    const std::string& key,
                                    const std::string& path) {
  return Call("POST", Shop(entry, path),
              {"Figflow-Unrepeatable: 1", "Idempotency-Key: " + key}, "order");
}

std::string Describe(const std::map<std::string, int>& outcomes) {
  std::string text;
  for (const auto& [outcome, count] : outcomes) {
    absl::StrAppend(&text, outcome, ": ", count, "; ");
  }
  return text;
}

}  // namespace figflow::test
