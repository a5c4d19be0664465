// Sends grants for customers with a cap to the owners of scopes.
#include <algorithm>
#include <utility>
#include <vector>

#include "Instances/instance_controller.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr std::chrono::seconds kMetricsInterval{1};
// Number of customers with a label of their own; the others share one.
constexpr size_t kMaxCustomerLabels = 16;
constexpr char kOtherCustomers[] = "other";

struct CustomerSums {
  int64_t running_millicores = 0;
  int64_t waiting_millicores = 0;
  int64_t granted_millicores = 0;
  int64_t tasks_over_grant = 0;
};

std::string GaugeName(absl::string_view what, absl::string_view customer) {
  return absl::StrCat("figflow_customer_", what, "{customer=\"", customer,
                      "\"}");
}

void SetGauges(MetricsRegistry& metrics,
               const std::string& customer,
               const CustomerSums& sums) {
  const auto set = [&](absl::string_view what, int64_t value) {
    metrics.GetGauge(GaugeName(what, customer)).Set(value);
  };
  set("running_millicores", sums.running_millicores);
  set("waiting_millicores", sums.waiting_millicores);
  set("granted_millicores", sums.granted_millicores);
  set("cap_waiting_tasks", sums.tasks_over_grant);
}

nlohmann::json DumpResources(const Resources& value) {
  return {{"millicores", value.cpu_millicores},
          {"memory_mb", value.memory_mb},
          {"accelerators", value.accelerators}};
}

}  // namespace

void InstanceController::SetCustomerScopes() {
  std::set<std::string> scopes;
  for (const PoolConfig& pool : plan_->pools) {
    if (!pool.spare) {
      for (std::string& scope : layout_.ScopesOfPool(pool.name)) {
        scopes.insert(std::move(scope));
      }
    }
  }
  customer_grants_.SetPlan(*plan_, scopes, clock_.Now());
}

void InstanceController::AddCustomerGrants(
    std::map<std::string, WorkerOrders>* orders,
    MonoTime now) {
  if (!customer_grants_.has_caps()) {
    return;
  }
  std::set<std::string> scopes;
  for (const auto& [scope, order] : *orders) {
    scopes.insert(scope);
    sync_prepared_at_[scope] = now;
  }
  // After the lease another controller may grant.
  const bool may_grant =
      !stopped_ && !deposed_ && !handing_over_ && now < lease_valid_until_;
  for (auto& [scope, grants] :
       customer_grants_.Prepare(scopes, may_grant, now)) {
    (*orders)[scope].customers = std::move(grants);
  }
  SetCustomerMetrics(now);
}

void InstanceController::SetCustomerMetrics(MonoTime now) {
  if (now < next_customer_metrics_at_) {
    return;
  }
  next_customer_metrics_at_ = now + kMetricsInterval;
  std::vector<CustomerGrants::CustomerState> states = customer_grants_.States();
  std::stable_sort(states.begin(), states.end(),
                   [](const CustomerGrants::CustomerState& a,
                      const CustomerGrants::CustomerState& b) {
                     return a.occupied.cpu_millicores >
                            b.occupied.cpu_millicores;
                   });
  // A label stays with its customer, since a registry keeps all names.
  for (const CustomerGrants::CustomerState& state : states) {
    if (labelled_customers_.size() < kMaxCustomerLabels &&
        !(state.occupied == Resources())) {
      labelled_customers_.insert(state.customer);
    }
  }
  std::map<std::string, CustomerSums> sums;
  for (const std::string& customer : labelled_customers_) {
    sums[customer] = {};
  }
  for (const CustomerGrants::CustomerState& state : states) {
    const bool labelled = labelled_customers_.count(state.customer) > 0;
    CustomerSums& sum = sums[labelled ? state.customer : kOtherCustomers];
    sum.running_millicores += state.occupied.cpu_millicores;
    sum.waiting_millicores += state.waiting.cpu_millicores;
    sum.granted_millicores += state.granted.cpu_millicores;
    sum.tasks_over_grant += state.tasks_over_grant;
  }
  for (const auto& [customer, sum] : sums) {
    SetGauges(metrics_, customer, sum);
  }
}

void InstanceController::ResetCustomerMetrics() {
  // The next controller, on another daemon, sets its own.
  for (const std::string& customer : labelled_customers_) {
    SetGauges(metrics_, customer, {});
  }
  if (customer_grants_.has_caps()) {
    SetGauges(metrics_, kOtherCustomers, {});
  }
}

nlohmann::json InstanceController::DumpCustomers() const {
  absl::MutexLock lock(&mutex_);
  nlohmann::json rows = nlohmann::json::array();
  for (const CustomerGrants::CustomerState& state : customer_grants_.States()) {
    rows.push_back({{"customer", state.customer},
                    {"weight", state.weight},
                    {"cap", DumpResources(state.cap)},
                    {"occupied", DumpResources(state.occupied)},
                    {"waiting", DumpResources(state.waiting)},
                    {"granted", DumpResources(state.granted)},
                    {"tasks_over_grant", state.tasks_over_grant}});
  }
  return rows;
}

}  // namespace figflow
