#ifndef PROCESS_CLUSTER_H_
#define PROCESS_CLUSTER_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/json.h"

#include "Process/child_process.h"
#include "Process/http_call.h"
#include "Process/tcp_relay.h"

namespace figflow::test {

struct ClusterOptions {
  std::vector<std::string> data_centres = {"dc-a"};
  int entries_per_data_centre = 2;
  int targets_per_data_centre = 2;
  // Time that the reboot of a target's instance takes.
  std::chrono::milliseconds reboot_time{500};
  // Merged into the settings of each daemon.
  nlohmann::json settings = nlohmann::json::object();
  // Extra arguments of each target.
  std::vector<std::string> target_arguments;
};

// Real daemons against the stand-ins on loopback. Each daemon reaches the
// platform through a relay of its own that can be cut. Processes end with the
// fixture; their logs stay in `directory()` when a test fails.
class Cluster {
 public:
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts everything and waits until all daemons are ready.
  void Start();

  void StartPlatform();
  void StartTarget(int target);
  void StartEntry(int entry);

  ChildProcess& platform() { return *platform_; }
  ChildProcess& target(int target) { return *targets_[target]; }
  ChildProcess& entry(int entry) { return *entries_[entry]; }
  int entry_count() const { return entry_count_; }
  int target_count() const { return target_count_; }

  void CutPlatform(int entry, bool cut);
  // Sets faults of the platform stand-in, such as {"down": true}.
  void SetPlatformFault(const nlohmann::json& fault);

  // POST without a body to the platform stand-in, such as "/standin/restore".
  void PlatformCall(const std::string& path);

  // GET of a path of the platform stand-in, such as "/standin/state".
  nlohmann::json PlatformGet(const std::string& path);

  std::string EntryId(int entry) const;
  std::string TargetId(int target) const;
  std::string CallerUrl(int entry) const;
  std::string TargetUrl(int target) const;

  // One request to the administration API.
  CallResult Admin(int entry,
                   const std::string& method,
                   const std::string& path,
                   const std::string& body = "");
  // GET of a path whose answer is a JSON object; null on failure.
  nlohmann::json AdminJson(int entry, const std::string& path);
  // Applies a sheet with the given instances per project in each data centre,
  // on top of the revision in force. Returns the new revision, 0 on failure.
  uint64_t Apply(int entry, const std::map<std::string, int>& projects);

  // Polls until `condition` holds. Returns how long it took, or `bound` plus
  // one millisecond if it never held.
  static std::chrono::milliseconds WaitFor(
      const std::function<bool()>& condition,
      std::chrono::milliseconds bound);

  const std::string& directory() const { return directory_; }

 private:
  std::string DataCentreOf(int index, int per_data_centre) const;
  void PostToPlatform(const std::string& path, const std::string& body);
  std::string WriteFleetFile() const;
  std::string WriteSettingsFile(int entry) const;

  const ClusterOptions options_;
  const int entry_count_;
  const int target_count_;
  std::string directory_;
  std::unique_ptr<ChildProcess> platform_;
  std::vector<std::unique_ptr<TcpRelay>> platform_relays_;
  std::vector<std::unique_ptr<ChildProcess>> targets_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
};

}  // namespace figflow::test

#endif  // PROCESS_CLUSTER_H_
