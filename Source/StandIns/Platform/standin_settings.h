#ifndef STANDINS_PLATFORM_STANDIN_SETTINGS_H_
#define STANDINS_PLATFORM_STANDIN_SETTINGS_H_

#include <chrono>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Platform/fleet_service.h"
#include "absl/strings/string_view.h"

namespace figflow::standin {

// Contents of the JSON file that the stand-in is started with.
struct StandinSettings {
  // "ip:port"; port 0 picks a free one.
  std::string listen = "127.0.0.1:0";
  double writes_per_second = 500;
  double reads_per_second = 2'000;
  // Age of the instance list and of task usage.
  std::chrono::milliseconds list_lag{2'000};
  std::chrono::milliseconds usage_lag{5'000};
  // Time from a reboot call until the instance is live again.
  std::chrono::milliseconds reboot_time{5'000};
  std::vector<ListedInstance> instances;
};

Result<StandinSettings> ParseStandinSettings(absl::string_view text);

}  // namespace figflow::standin

#endif  // STANDINS_PLATFORM_STANDIN_SETTINGS_H_
