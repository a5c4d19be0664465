#include "Settings/settings.h"

#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <variant>

#include "Common/json.h"

#include "Settings/settings_table.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_replace.h"

namespace figflow {
namespace {

using nlohmann::json;
using Faults = std::vector<SettingsFault>;

// Shorter secrets can be guessed by trying them on the listener.
constexpr size_t kMinCredentialLength = 16;
constexpr std::chrono::seconds kRequestGrace{2};
// A daemon without a plan takes 15 MB.
constexpr int64_t kLeastMemoryMb = 32;

// One name for each alternative of SettingMember.
constexpr const char* kUnitNames[] = {
    "text",         "ip:port",      "list of ip:port",
    "milliseconds", "whole number", "number"};
static_assert(std::variant_size_v<SettingMember> == std::size(kUnitNames));

// Leaves of the document by dotted path.
void Flatten(const json& value,
             const std::string& path,
             std::map<std::string, json>& leaves) {
  if (!value.is_object()) {
    leaves[path] = value;
    return;
  }
  for (const auto& [name, child] : value.items()) {
    Flatten(child, path.empty() ? name : absl::StrCat(path, ".", name), leaves);
  }
}

std::string WithoutUnit(absl::string_view path) {
  for (const absl::string_view unit :
       {"_ms", "_s", "_seconds", "_minutes", "_bytes", "_kb", "_mb"}) {
    if (absl::EndsWith(path, unit)) {
      return std::string(path.substr(0, path.size() - unit.size()));
    }
  }
  return std::string(path);
}

// Names the setting that differs from an unknown path in its unit only.
std::string UnknownKeyMessage(const std::string& path) {
  for (const SettingInfo& info : SettingsTable()) {
    if (WithoutUnit(info.path) == WithoutUnit(path)) {
      return absl::StrCat("unknown setting; did you mean ", info.path, "?");
    }
  }
  return "unknown setting";
}

// Plain digits: StrCat would print 86400000 as 8.64e+07.
std::string NumberText(double number) {
  return absl::StrFormat("%.15g", number);
}

// Reads one JSON value into the settings. One overload per member type.
class ValueReader {
 public:
  ValueReader(const SettingInfo& info,
              const json& value,
              Settings& settings,
              Faults& faults)
      : info_(info), value_(value), settings_(settings), faults_(faults) {}

  void operator()(std::string Settings::*member) {
    const bool text = value_.is_string();
    if (!text ||
        (info_.required && value_.get_ref<const std::string&>().empty())) {
      AddFault("expected a text that is not empty");
      return;
    }
    settings_.*member = value_.get<std::string>();
  }

  void operator()(SocketAddress Settings::*member) {
    if (auto address = ReadAddress(value_)) {
      settings_.*member = *address;
    }
  }

  void operator()(std::vector<SocketAddress> Settings::*member) {
    if (!value_.is_array()) {
      AddFault("expected a list of \"ip:port\"");
      return;
    }
    for (const json& element : value_) {
      if (auto address = ReadAddress(element)) {
        (settings_.*member).push_back(*address);
      }
    }
  }

  void operator()(std::chrono::milliseconds Settings::*member) {
    if (!value_.is_number_integer()) {
      AddFault("expected a whole number of milliseconds");
      return;
    }
    if (InRange()) {
      settings_.*member = std::chrono::milliseconds(value_.get<int64_t>());
    }
  }

  void operator()(int64_t Settings::*member) {
    if (!value_.is_number_integer()) {
      AddFault("expected a whole number");
      return;
    }
    if (InRange()) {
      settings_.*member = value_.get<int64_t>();
    }
  }

  void operator()(double Settings::*member) {
    if (!value_.is_number()) {
      AddFault("expected a number");
      return;
    }
    if (InRange()) {
      settings_.*member = value_.get<double>();
    }
  }

 private:
  void AddFault(std::string message) {
    faults_.push_back({info_.path, std::move(message)});
  }

  bool InRange() {
    const double number = value_.get<double>();
    if (number >= info_.min && number <= info_.max) {
      return true;
    }
    AddFault(absl::StrCat("must be from ", info_.min, " to ", info_.max));
    return false;
  }

  tl::expected<SocketAddress, bool> ReadAddress(const json& value) {
    if (!value.is_string()) {
      AddFault("expected \"ip:port\"");
      return tl::unexpected<bool>(false);
    }
    Result<SocketAddress> address =
        ParseSocketAddress(value.get_ref<const std::string&>());
    if (!address) {
      AddFault(address.error().message);
      return tl::unexpected<bool>(false);
    }
    return *address;
  }

  const SettingInfo& info_;
  const json& value_;
  Settings& settings_;
  Faults& faults_;
};

void ApplyDefault(const SettingInfo& info, Settings& settings) {
  if (auto* duration =
          std::get_if<std::chrono::milliseconds Settings::*>(&info.member)) {
    settings.** duration =
        std::chrono::milliseconds(static_cast<int64_t>(info.default_value));
  } else if (auto* number = std::get_if<int64_t Settings::*>(&info.member)) {
    settings.** number = static_cast<int64_t>(info.default_value);
  } else if (auto* decimal = std::get_if<double Settings::*>(&info.member)) {
    settings.** decimal = info.default_value;
  }
}

// Checks that concern more than one setting. Runs only on a document whose
// single settings are all valid.
void CheckTogether(const Settings& settings, Faults& faults) {
  if (settings.default_deadline > settings.max_deadline) {
    faults.push_back({"requests.default_deadline_ms",
                      "must not be longer than requests.max_deadline_ms"});
  }
  if (settings.shared_credential.size() < kMinCredentialLength) {
    faults.push_back({"peers.credential", "must have at least 16 characters"});
  }
  if (settings.operator_credential.size() < kMinCredentialLength) {
    faults.push_back({"admin.credential", "must have at least 16 characters"});
  }
  if (settings.operator_credential == settings.shared_credential) {
    faults.push_back({"admin.credential", "must differ from peers.credential"});
  }
  if (!settings.platform_kind.empty() && settings.platform_kind != "fleet") {
    faults.push_back({"platform.kind", "must be empty or \"fleet\""});
  }
  for (const auto& [path, address] :
       {std::pair{"platform.instances_address", &settings.instances_address},
        std::pair{"platform.policy_address", &settings.policy_address},
        std::pair{"listen.metrics", &settings.metrics_listen}}) {
    if (!address->empty() && !ParseSocketAddress(*address)) {
      faults.push_back({path, "must be empty or \"ip:port\""});
    }
  }
  if (settings.memory_mb < kLeastMemoryMb) {
    faults.push_back({"limits.memory_mb",
                      absl::StrCat("must be 0 or at least ", kLeastMemoryMb)});
  }
  if (settings.caller_listen == settings.admin_listen ||
      settings.caller_listen == settings.peer_listen ||
      settings.admin_listen == settings.peer_listen) {
    faults.push_back({"listen", "the three addresses must differ"});
  }
}

const char* UnitName(const SettingMember& member) {
  return kUnitNames[member.index()];
}

bool HasRange(const SettingMember& member) {
  return member.index() >= 3;
}

}  // namespace

std::chrono::milliseconds RequestBound(const Settings& settings) {
  return settings.max_deadline + kRequestGrace;
}

tl::expected<Settings, Faults> ParseSettings(absl::string_view json_text) {
  const json document = json::parse(json_text.begin(), json_text.end(),
                                    /*cb=*/nullptr, /*allow_exceptions=*/false);
  if (!document.is_object()) {
    return tl::unexpected<Faults>(
        Faults{{"$", "the file is not a JSON object"}});
  }
  std::map<std::string, json> leaves;
  Flatten(document, "", leaves);

  Settings settings;
  Faults faults;
  for (const SettingInfo& info : SettingsTable()) {
    auto leaf = leaves.find(info.path);
    if (leaf == leaves.end()) {
      if (info.required) {
        faults.push_back({info.path, "required setting is missing"});
      }
      ApplyDefault(info, settings);
      continue;
    }
    const json value = leaf->second;
    leaves.erase(leaf);
    std::visit(ValueReader(info, value, settings, faults), info.member);
  }
  for (const auto& [path, value] : leaves) {
    faults.push_back({path, UnknownKeyMessage(path)});
  }
  if (settings.memory_mb == 0) {
    settings.memory_mb = kDefaultMemoryMb;
  }
  if (faults.empty()) {
    CheckTogether(settings, faults);
  }
  if (!faults.empty()) {
    return tl::unexpected<Faults>(std::move(faults));
  }
  return settings;
}

Result<std::string> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Fail(ErrorCode::kNotFound, "settings.read", path,
                "the file cannot be opened");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string SettingsReference() {
  std::string text =
      "| setting | unit | default | range | meaning |\n|---|---|---|---|---|\n";
  for (const SettingInfo& info : SettingsTable()) {
    const std::string range =
        HasRange(info.member)
            ? absl::StrCat(NumberText(info.min), " to ", NumberText(info.max))
            : "";
    absl::StrAppend(&text, "| `", info.path, "` | ", UnitName(info.member),
                    " | ",
                    info.required ? "required" : NumberText(info.default_value),
                    " | ", range, " | ", info.description, " |\n");
  }
  return text;
}

}  // namespace figflow
