#include "StandIns/Target/target_state.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

namespace figflow {
namespace {

constexpr std::pair<absl::string_view, TargetMode> kModes[] = {
    {"normal", TargetMode::kNormal},
    {"truncated", TargetMode::kTruncated},
    {"close-delimited", TargetMode::kCloseDelimited},
    {"die", TargetMode::kDie},
    {"leaving", TargetMode::kLeaving},
    {"late", TargetMode::kLate},
};

}  // namespace

bool ParseTargetMode(absl::string_view name, TargetMode* mode) {
  for (const auto& [known, value] : kModes) {
    if (known == name) {
      *mode = value;
      return true;
    }
  }
  return false;
}

TargetMode StandInState::mode() const {
  absl::MutexLock lock(&mutex_);
  return mode_;
}

void StandInState::SetMode(TargetMode mode) {
  absl::MutexLock lock(&mutex_);
  if (mode == TargetMode::kLeaving && mode_ != mode) {
    leaving_since_ = std::chrono::steady_clock::now();
    leaving_requests_ = 0;
    last_leaving_request_ms_ = 0;
  }
  mode_ = mode;
}

bool StandInState::BeginRequest(const std::string& key) {
  absl::MutexLock lock(&mutex_);
  ++requests_;
  if (mode_ == TargetMode::kLeaving) {
    ++leaving_requests_;
    last_leaving_request_ms_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - leaving_since_)
            .count();
  }
  if (running_ >= limits_.slots) {
    ++slot_violations_;
    return false;
  }
  ++running_;
  max_concurrent_ = std::max(max_concurrent_, running_);
  if (!key.empty()) {
    ++executions_[key];
  }
  return true;
}

void StandInState::EndRequest() {
  absl::MutexLock lock(&mutex_);
  --running_;
}

void StandInState::CountConnection(int open) {
  absl::MutexLock lock(&mutex_);
  ++accepted_;
  max_connections_ = std::max(max_connections_, open);
  if (open > limits_.connections) {
    ++connection_violations_;
  }
}

int StandInState::executions(const std::string& key) const {
  absl::MutexLock lock(&mutex_);
  auto it = executions_.find(key);
  return it == executions_.end() ? 0 : it->second;
}

int StandInState::requests() const {
  absl::MutexLock lock(&mutex_);
  return requests_;
}

int StandInState::slot_violations() const {
  absl::MutexLock lock(&mutex_);
  return slot_violations_;
}

int StandInState::connection_violations() const {
  absl::MutexLock lock(&mutex_);
  return connection_violations_;
}

std::string StandInState::StatsJson() const {
  absl::MutexLock lock(&mutex_);
  const nlohmann::json stats = {
      {"requests", requests_},
      {"executions", executions_},
      {"running", running_},
      {"max_concurrent", max_concurrent_},
      {"max_connections", max_connections_},
      {"accepted_connections", accepted_},
      {"slot_violations", slot_violations_},
      {"connection_violations", connection_violations_},
      {"requests_while_leaving", leaving_requests_},
      {"last_request_after_leaving_ms", last_leaving_request_ms_}};
  return stats.dump();
}

}  // namespace figflow
