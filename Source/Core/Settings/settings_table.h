#ifndef SETTINGS_SETTINGS_TABLE_H_
#define SETTINGS_SETTINGS_TABLE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/socket_address.h"
#include "Settings/settings.h"

namespace figflow {

// Where a parsed value goes; its type decides how the JSON value is read.
using SettingMember = std::variant<std::string Settings::*,
                                   SocketAddress Settings::*,
                                   std::vector<SocketAddress> Settings::*,
                                   std::chrono::milliseconds Settings::*,
                                   int64_t Settings::*,
                                   double Settings::*>;

// Of limits.memory_mb. No number of connections that follows from it is below
// that of the platform's template.
inline constexpr int64_t kDefaultMemoryMb = 2'048;

struct SettingInfo {
  // Dotted path in the JSON file. Durations end in "_ms", or in "_s" for a
  // decimal number of seconds; sizes end in "_bytes".
  const char* path;
  SettingMember member;
  // Default for numbers and durations (milliseconds); ignored if `required`.
  double default_value;
  double min;
  double max;
  bool required;
  const char* description;
};

const std::vector<SettingInfo>& SettingsTable();

}  // namespace figflow

#endif  // SETTINGS_SETTINGS_TABLE_H_
