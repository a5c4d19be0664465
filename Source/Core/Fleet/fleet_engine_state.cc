// State dump for operators.
#include <utility>

#include "Common/json.h"
#include "Fleet/fleet_engine.h"

namespace figflow {

nlohmann::json FleetEngine::DumpState() const {
  const MonoTime now = clock_.Now();
  const auto age_ms = [now](MonoTime since) {
    return WholeMilliseconds(now - since).count();
  };
  absl::MutexLock lock(&mutex_);
  nlohmann::json owners = nlohmann::json::array();
  for (const auto& [scope, owner] : known_owners_) {
    owners.push_back({{"scope", scope},
                      {"owner", owner.record.entry},
                      {"fence", owner.revision},
                      {"age_ms", age_ms(owner.seen_at)}});
  }
  nlohmann::json members = nlohmann::json::array();
  for (const auto& [entry, member] : members_.members()) {
    members.push_back({{"entry", entry},
                       {"peer", member.record.address},
                       {"millicores", member.record.millicores},
                       {"record", member.removed_at == MonoTime::max()}});
  }
  nlohmann::json pools = nlohmann::json::array();
  nlohmann::json queues = nlohmann::json::array();
  nlohmann::json scope_customers = nlohmann::json::array();
  for (const auto& [pool, runner] : runners_) {
    const auto [listed, reached] = runner->CountReachedWorkers();
    pools.push_back({{"pool", pool},
                     {"fence", runner->claim().revision},
                     {"workers", listed},
                     {"reached", reached},
                     {"takes_calls", runner->AcceptsCalls()},
                     {"work_bytes", runner->WorkMemoryInUse()},
                     {"refused_records", runner->RefusedRecords()}});
    for (const CustomerLoad& load : runner->CustomerLoads()) {
      scope_customers.push_back(
          {{"scope", pool},
           {"customer", load.customer},
           {"occupied_millicores", load.occupied.cpu_millicores},
           {"waiting_millicores", load.waiting.cpu_millicores},
           {"granted_millicores", load.granted.cpu_millicores},
           {"occupied_mb", load.occupied.memory_mb},
           {"granted_mb", load.granted.memory_mb},
           {"tasks_over_grant", load.tasks_over_grant}});
    }
    for (const auto& [queue, tasks] : runner->WaitingByQueue()) {
      queues.push_back(
          {{"pool", pool}, {"queue", queue}, {"waiting_tasks", tasks}});
    }
  }
  return {{"entry", options_.entry},
          {"plan_version", plan_ == nullptr ? 0 : plan_->version},
          {"store_silent_ms", StoreResponseAge(now).count()},
          {"owners_age_ms", WholeMilliseconds(OwnersStaleness(now)).count()},
          {"work_bytes", work_memory_->used()},
          {"workers", reports_.size()},
          {"peers", PeerCount()},
          {"releasing", releasing_},
          {"owners", std::move(owners)},
          {"members", std::move(members)},
          {"pools", std::move(pools)},
          {"queues", std::move(queues)},
          {"scope_customers", std::move(scope_customers)},
          {"customers", controller_ == nullptr ? nlohmann::json::array()
                                               : controller_->DumpCustomers()},
          {"waves", controller_ == nullptr ? nlohmann::json::array()
                                           : controller_->DumpWaves(now)}};
}

}  // namespace figflow
