#ifndef SETTINGS_SETTINGS_H_
#define SETTINGS_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/socket_address.h"
#include "absl/strings/string_view.h"

namespace figflow {

// All settings of one daemon. Names, units, ranges and defaults are declared
// once in settings_table.cc.
struct Settings {
  std::string entry;
  std::string data_centre;

  SocketAddress caller_listen;
  SocketAddress admin_listen;
  SocketAddress peer_listen;
  SocketAddress platform_address;
  std::vector<SocketAddress> peer_seeds;

  std::string shared_credential;
  std::string operator_credential;

  std::chrono::milliseconds default_deadline{0};
  std::chrono::milliseconds max_deadline{0};
  std::chrono::milliseconds drain_timeout{0};
  std::chrono::milliseconds claim_retention{0};
  std::chrono::milliseconds ticket_lifetime{0};
  std::chrono::milliseconds platform_timeout{0};
  std::chrono::milliseconds watch_wait{0};
  std::chrono::milliseconds control_interval{0};
  std::chrono::milliseconds instance_drain_timeout{0};
  std::chrono::milliseconds reboot_timeout{0};

  // Kind of platform: empty for the documented platform API, "fleet" for the
  // users' platform.
  std::string platform_kind;
  // "ip:port", empty if there is none. For the kind "fleet" only.
  std::string instances_address;
  std::string policy_address;
  int64_t max_value_bytes = 0;
  std::string metrics_listen;

  std::chrono::milliseconds max_lease{0};
  std::chrono::milliseconds stop_time{0};
  std::chrono::milliseconds gang_wait{0};
  std::chrono::milliseconds early_start{0};
  std::chrono::milliseconds unavailable_notice{0};
  std::chrono::milliseconds harm_time{0};
  std::chrono::milliseconds plan_apply{0};
  std::chrono::milliseconds plan_rollback_slack{0};
  std::chrono::milliseconds key_withdrawal{0};
  std::chrono::milliseconds holder_interval{0};
  double status_retention_s = 0;
  double instance_move_s = 0;
  double instance_maintenance_s = 0;
  double far_factor = 0;
  double cap_overage = 0;
  double submission_window_s = 0;
  int64_t submission_burst = 0;
  int64_t fair_shares = 0;
  // From the signal to stop until the process is killed.
  double stop_grace_s = 0;
  int64_t worker_connections = 0;
  double processor_cores = 0;
  // Never 0: a file that sets 0 gets the default.
  int64_t memory_mb = 0;

  int64_t max_body_bytes = 0;
  int64_t max_answer_bytes = 0;
  int64_t max_queue = 0;
  int64_t max_open_requests = 0;
  int64_t caller_threads = 0;
  int64_t target_threads = 0;
};

// Longest time a request of a lost daemon may still run at a target: the
// longest deadline plus a grace for clocks and the network.
std::chrono::milliseconds RequestBound(const Settings& settings);

// One fault in a settings file.
struct SettingsFault {
  // Path of the setting, such as "platform.timeout_ms"; "$" for the whole file.
  std::string path;
  std::string message;
};

// Parses and checks the text of a settings file. Reports all faults, not just
// the first.
tl::expected<Settings, std::vector<SettingsFault>> ParseSettings(
    absl::string_view json_text);

// Reads the file at `path`. Errors: kNotFound, kInvalid.
Result<std::string> ReadSettingsFile(const std::string& path);

// The settings reference as a Markdown table, from the settings table.
std::string SettingsReference();

}  // namespace figflow

#endif  // SETTINGS_SETTINGS_H_
