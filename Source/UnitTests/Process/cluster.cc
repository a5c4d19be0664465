#include "Process/cluster.h"

#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <thread>

#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using nlohmann::json;

constexpr char kOperatorToken[] = "operator-credential-01";
constexpr std::chrono::seconds kStartBound{20};

constexpr int kPlatformPort = 22000;
constexpr int kRelayPort = 22010;
constexpr int kTargetPort = 22100;
constexpr int kCallerPort = 22200;
constexpr int kAdminPort = 22300;
constexpr int kPeerPort = 22400;

std::string Address(int port) {
  return absl::StrCat("127.0.0.1:", port);
}

std::string Url(int port) {
  return absl::StrCat("http://", Address(port));
}

std::string Program(const char* name) {
  return absl::StrCat(FIGFLOW_BIN_DIR, "/", name);
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path) << text;
}

}  // namespace

Cluster::Cluster(ClusterOptions options)
    : options_(std::move(options)),
      entry_count_(static_cast<int>(options_.data_centres.size()) *
                   options_.entries_per_data_centre),
      target_count_(static_cast<int>(options_.data_centres.size()) *
                    options_.targets_per_data_centre),
      platform_relays_(entry_count_),
      targets_(target_count_),
      entries_(entry_count_) {
  std::string path =
      (std::filesystem::temp_directory_path() / "figflow-test-XXXXXX");
  if (mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary directory");
  }
  directory_ = path;
}

Cluster::~Cluster() {
  entries_.clear();
  targets_.clear();
  platform_.reset();
  if (!std::uncaught_exceptions()) {
    std::filesystem::remove_all(directory_);
  }
}

void Cluster::Start() {
  StartPlatform();
  for (int i = 0; i < target_count_; ++i) {
    StartTarget(i);
  }
  for (int i = 0; i < entry_count_; ++i) {
    StartEntry(i);
  }
  for (int i = 0; i < entry_count_; ++i) {
    const auto ready = [this, i] {
      return Admin(i, "GET", "/readyz").status == 200;
    };
    if (WaitFor(ready, kStartBound) > kStartBound) {
      throw std::runtime_error(absl::StrCat(
          "entry ", i, " is not ready: ", Admin(i, "GET", "/readyz").body,
          "; logs in ", directory_));
    }
  }
}

void Cluster::StartPlatform() {
  // A process left over from a test that was ended by force would answer in
  // place of this one.
  if (Call("GET", Url(kPlatformPort) + "/standin/state").status != 0) {
    throw std::runtime_error("the ports of the process tests are in use");
  }
  platform_ = std::make_unique<ChildProcess>(
      Program("standin_platform"), std::vector<std::string>{WriteFleetFile()},
      directory_ + "/platform.log");
}

void Cluster::StartTarget(int target) {
  targets_[target].reset();
  std::vector<std::string> arguments = {"--listen",
                                        Address(kTargetPort + target)};
  arguments.insert(arguments.end(), options_.target_arguments.begin(),
                   options_.target_arguments.end());
  targets_[target] = std::make_unique<ChildProcess>(
      Program("standin_target"), arguments,
      absl::StrCat(directory_, "/", TargetId(target), ".log"));
}

void Cluster::StartEntry(int entry) {
  entries_[entry].reset();
  if (!platform_relays_[entry]) {
    platform_relays_[entry] =
        std::make_unique<TcpRelay>(kRelayPort + entry, kPlatformPort);
  }
  entries_[entry] = std::make_unique<ChildProcess>(
      Program("figflowd"),
      std::vector<std::string>{"--settings", WriteSettingsFile(entry)},
      absl::StrCat(directory_, "/", EntryId(entry), ".log"));
}

void Cluster::CutPlatform(int entry, bool cut) {
  if (cut) {
    platform_relays_[entry]->Cut();
  } else {
    platform_relays_[entry]->Heal();
  }
}

void Cluster::SetPlatformFault(const json& fault) {
  PostToPlatform("/standin/fault", fault.dump());
}

void Cluster::PlatformCall(const std::string& path) {
  PostToPlatform(path, "");
}

void Cluster::PostToPlatform(const std::string& path, const std::string& body) {
  const CallResult result = Call("POST", Url(kPlatformPort) + path, {}, body);
  if (result.status != 200) {
    throw std::runtime_error("the platform refused a call: " + result.body);
  }
}

json Cluster::PlatformGet(const std::string& path) {
  return json::parse(Call("GET", Url(kPlatformPort) + path).body, nullptr,
                     /*allow_exceptions=*/false);
}

std::string Cluster::DataCentreOf(int index, int per_data_centre) const {
  return options_.data_centres[static_cast<size_t>(index / per_data_centre)];
}

std::string Cluster::EntryId(int entry) const {
  return absl::StrCat("entry-", entry);
}

std::string Cluster::TargetId(int target) const {
  return absl::StrCat("worker-", target);
}

std::string Cluster::CallerUrl(int entry) const {
  return Url(kCallerPort + entry);
}

std::string Cluster::TargetUrl(int target) const {
  return Url(kTargetPort + target);
}

std::string Cluster::WriteFleetFile() const {
  json instances = json::array();
  for (int i = 0; i < entry_count_; ++i) {
    const std::string data_centre =
        DataCentreOf(i, options_.entries_per_data_centre);
    instances.push_back({{"id", EntryId(i)},
                         {"role", "entry"},
                         {"data_centre", data_centre},
                         {"rack", data_centre + "-entries"},
                         {"address", Address(kPeerPort + i)}});
  }
  for (int i = 0; i < target_count_; ++i) {
    const std::string data_centre =
        DataCentreOf(i, options_.targets_per_data_centre);
    instances.push_back({{"id", TargetId(i)},
                         {"role", "worker"},
                         {"data_centre", data_centre},
                         {"rack", absl::StrCat(data_centre, "-r", i / 2)},
                         {"address", Address(kTargetPort + i)},
                         {"slots", 8},
                         {"connections", 64},
                         {"cores", 8},
                         {"memory_mb", 16384}});
  }
  const json fleet = {{"listen", Address(kPlatformPort)},
                      {"list_lag_ms", 500},
                      {"usage_lag_ms", 500},
                      {"reboot_ms", options_.reboot_time.count()},
                      {"instances", instances}};
  std::string path = directory_ + "/fleet.json";
  WriteFile(path, fleet.dump(2));
  return path;
}

std::string Cluster::WriteSettingsFile(int entry) const {
  json seeds = json::array();
  for (int i = 0; i < entry_count_; ++i) {
    if (i != entry) {
      seeds.push_back(Address(kPeerPort + i));
    }
  }
  json settings = {
      {"entry", EntryId(entry)},
      {"data_centre", DataCentreOf(entry, options_.entries_per_data_centre)},
      {"listen",
       {{"callers", Address(kCallerPort + entry)},
        {"admin", Address(kAdminPort + entry)},
        {"peers", Address(kPeerPort + entry)}}},
      {"peers", {{"seeds", seeds}, {"credential", "peer-credential-01"}}},
      {"admin", {{"credential", kOperatorToken}}},
      {"platform", {{"address", Address(kRelayPort + entry)}}}};
  settings.merge_patch(options_.settings);
  std::string path = absl::StrCat(directory_, "/", EntryId(entry), ".json");
  WriteFile(path, settings.dump(2));
  return path;
}

CallResult Cluster::Admin(int entry,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body) {
  return Call(method, Url(kAdminPort + entry) + path,
              {absl::StrCat("Authorization: Bearer ", kOperatorToken)}, body);
}

json Cluster::AdminJson(int entry, const std::string& path) {
  const CallResult result = Admin(entry, "GET", path);
  return result.status == 200
             ? json::parse(result.body, nullptr, /*allow_exceptions=*/false)
             : json();
}

uint64_t Cluster::Apply(int entry, const std::map<std::string, int>& projects) {
  const json in_force = AdminJson(entry, "/v1/status");
  std::string csv = absl::StrCat(
      "#revision,", in_force.value("config_revision", uint64_t{0}),
      "\nproject,team,pool,data_centre,instances,max_down,budget_minutes,"
      "priority,long_share,max_move\n");
  for (const std::string& data_centre : options_.data_centres) {
    for (const auto& [project, instances] : projects) {
      // A project without instances can have no availability budget.
      absl::StrAppend(&csv, project, ",team,", project, ",", data_centre, ",",
                      instances, instances > 0 ? ",1,240" : ",0,0",
                      ",normal,0.5,100\n");
    }
    absl::StrAppend(&csv, "spare,team,spare,", data_centre,
                    ",0,0,0,low,0,100\n");
  }
  const CallResult applied = Admin(entry, "POST", "/v1/sheet/apply", csv);
  if (applied.status != 200) {
    std::cerr << "apply refused: " << applied.status << " " << applied.body
              << "\n";
    return 0;
  }
  return json::parse(applied.body).value("revision", uint64_t{0});
}

std::chrono::milliseconds Cluster::WaitFor(
    const std::function<bool()>& condition,
    std::chrono::milliseconds bound) {
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed = [start] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - start);
  };
  while (elapsed() <= bound) {
    if (condition()) {
      return elapsed();
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return bound + std::chrono::milliseconds(1);
}

}  // namespace figflow::test
