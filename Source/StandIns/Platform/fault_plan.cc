#include "StandIns/Platform/fault_plan.h"

#include <array>
#include <string>
#include <utility>
#include <variant>

namespace figflow::standin {
namespace {

using FaultMember = std::variant<bool Faults::*, int Faults::*>;

constexpr std::array<std::pair<const char*, FaultMember>, 6> kMembers = {{
    {"down", &Faults::down},
    {"unreachable", &Faults::unreachable},
    {"slow_ms", &Faults::slow_ms},
    {"lose_answers", &Faults::lose_answers},
    {"lose_requests", &Faults::lose_requests},
    {"stale_list", &Faults::stale_list},
}};

bool Assign(const nlohmann::json& value, bool& field) {
  if (!value.is_boolean()) {
    return false;
  }
  field = value.get<bool>();
  return true;
}

bool Assign(const nlohmann::json& value, int& field) {
  if (!value.is_number_unsigned()) {
    return false;
  }
  field = value.get<int>();
  return true;
}

bool AssignMember(const std::string& name,
                  const nlohmann::json& value,
                  Faults& faults) {
  for (const auto& [known, member] : kMembers) {
    if (name == known) {
      return std::visit(
          [&](auto field) { return Assign(value, faults.*field); }, member);
    }
  }
  return false;
}

}  // namespace

Result<void> FaultPlan::Set(const nlohmann::json& json, MonoTime now) {
  if (!json.is_object()) {
    return Fail(ErrorCode::kInvalid, "standin.fault", "", "not an object");
  }
  absl::MutexLock lock(&mutex_);
  Faults faults = json.value("reset", false) ? Faults{} : faults_;
  for (const auto& [name, value] : json.items()) {
    if (name != "reset" && !AssignMember(name, value, faults)) {
      return Fail(ErrorCode::kInvalid, "standin.fault", "",
                  "unknown fault or bad value: " + name);
    }
  }
  if (faults.stale_list && !faults_.stale_list) {
    frozen_at_ = now;
  }
  faults_ = faults;
  return {};
}

Faults FaultPlan::Current() const {
  absl::MutexLock lock(&mutex_);
  return faults_;
}

bool FaultPlan::TakeLostRequest() {
  absl::MutexLock lock(&mutex_);
  return faults_.lose_requests > 0 && faults_.lose_requests-- > 0;
}

bool FaultPlan::TakeLostAnswer() {
  absl::MutexLock lock(&mutex_);
  return faults_.lose_answers > 0 && faults_.lose_answers-- > 0;
}

std::optional<MonoTime> FaultPlan::ListFrozenAt() const {
  absl::MutexLock lock(&mutex_);
  return faults_.stale_list ? std::optional<MonoTime>(frozen_at_)
                            : std::nullopt;
}

nlohmann::json FaultPlan::ToJson() const {
  absl::MutexLock lock(&mutex_);
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [name, member] : kMembers) {
    std::visit([&, key = name](auto field) { json[key] = faults_.*field; },
               member);
  }
  return json;
}

}  // namespace figflow::standin
