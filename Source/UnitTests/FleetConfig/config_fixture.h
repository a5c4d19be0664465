#ifndef FLEETCONFIG_CONFIG_FIXTURE_H_
#define FLEETCONFIG_CONFIG_FIXTURE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "FleetConfig/config_store.h"
#include "Support/fake_key_value_store.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {

inline constexpr std::chrono::milliseconds kTimeout{2'000};

// Sheet with one row per entry of `instances`, based on `base`.
inline SheetDocument Sheet(uint64_t base,
                           const std::map<std::string, int>& instances) {
  SheetDocument sheet;
  sheet.base_revision = base;
  for (const auto& [project, count] : instances) {
    SheetRow row;
    row.project = ProjectId(project);
    row.team = TeamId("t");
    row.pool = PoolId(absl::StrCat("pool-", project));
    row.data_centre = DataCentreId("dc1");
    row.instances = count;
    sheet.rows.push_back(row);
  }
  return sheet;
}

// Forwards to the fake store, with the faults that it does not have.
class FaultyStore : public FakeKeyValueStore {
 public:
  // Answers of the next reads of the head.
  std::deque<VersionedValue> stale_reads;
  // Watches report nothing.
  bool silent_watch = false;
  // Runs once after the next write, before its answer is seen.
  std::function<void()> after_write;

  Result<std::optional<VersionedValue>> Get(
      absl::string_view key,
      std::chrono::milliseconds timeout) override {
    if (key == kHeadKey && !stale_reads.empty()) {
      std::optional<VersionedValue> stale = std::move(stale_reads.front());
      stale_reads.pop_front();
      return stale;
    }
    return FakeKeyValueStore::Get(key, timeout);
  }
  Result<uint64_t> CompareAndSwap(absl::string_view key,
                                  uint64_t expected,
                                  absl::string_view value,
                                  std::chrono::milliseconds timeout,
                                  LeaseId lease = 0) override {
    auto written =
        FakeKeyValueStore::CompareAndSwap(key, expected, value, timeout, lease);
    if (auto action = std::exchange(after_write, nullptr)) {
      action();
    }
    return written;
  }
  Result<WatchResult> Watch(absl::string_view prefix,
                            uint64_t after,
                            std::chrono::milliseconds wait) override {
    return silent_watch ? Result<WatchResult>(WatchResult{{}, after})
                        : FakeKeyValueStore::Watch(prefix, after, wait);
  }
  // Without faults.
  std::optional<VersionedValue> Head() {
    return *FakeKeyValueStore::Get(kHeadKey, kTimeout);
  }
  uint64_t HeadRevision() { return DecodeHead(Head()->value)->revision; }
};

class FakePeers : public PeerService {
 public:
  std::map<EntryId, PeerView> peers;
  std::deque<ConfigDelta> pushed;

  void Add(const char* id, uint64_t revision, bool suspect = false) {
    PeerView& view = peers[EntryId(id)];
    view.digest.config_revision = revision;
    view.suspect = suspect;
  }
  uint64_t Relay(const EntryId& /*to*/,
                 RelayRequest /*request*/,
                 RelayCallback /*done*/) override {
    return 0;
  }
  void CancelRelay(uint64_t /*relay_id*/) override {}
  void PushConfig(const ConfigDelta& delta) override {
    pushed.push_back(delta);
  }
  std::map<EntryId, PeerView> Peers() const override { return peers; }
};

// One daemon's configuration.
struct Daemon {
  explicit Daemon(KeyValueStore& kv, ConfigStoreOptions options = {})
      : config(kv, clock, metrics, options) {
    config.SetPeers(&peers);
  }
  // "ok:REVISION", or the error's code.
  std::string Apply(const SheetDocument& sheet,
                    const char* id,
                    std::chrono::milliseconds timeout = kTimeout) {
    const auto outcome = config.Apply({sheet, id}, timeout);
    message = outcome ? "" : outcome.error().message;
    return outcome ? absl::StrCat("ok:", outcome->revision)
                   : std::string(ErrorCodeName(outcome.error().code));
  }
  uint64_t revision() const { return config.InForce()->revision; }
  // Instances of a project; -1 if it has none.
  int Instances(const char* project) const {
    const auto in_force = config.InForce();
    const SheetRow* row =
        in_force->Find(ProjectId(project), DataCentreId("dc1"));
    return row == nullptr ? -1 : row->instances;
  }
  uint64_t Count(const char* name) { return metrics.GetCounter(name).value(); }

  SystemClock clock;
  MetricsRegistry metrics;
  FakePeers peers;
  ConfigStore config;
  std::string message;
};

}  // namespace figflow::test

#endif  // FLEETCONFIG_CONFIG_FIXTURE_H_
