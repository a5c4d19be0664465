#include "Soak/daemon_set.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

#include "Common/json.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

namespace figflow::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

enum PortUse { kCallers, kAdmin, kPeers, kMetrics, kStore };

constexpr milliseconds kWatchInterval{50};
// Between the end of a process that nobody asked for and its next start.
constexpr milliseconds kRestartDelay{500};
// Time that the platform gives a process to stop.
constexpr std::chrono::seconds kGrace{6};

// As ChildProcess reports it.
constexpr int kEndedBySigterm = 128 + SIGTERM;
// Logged when a daemon listens.
constexpr char kStartedEvent[] = "event=started";

std::string Address(int port) {
  return absl::StrCat("127.0.0.1:", port);
}

}  // namespace

DaemonSet::DaemonSet(model::VirtualTime& time,
                     WireFront& front,
                     DaemonSetOptions options,
                     Report report)
    : time_(time),
      front_(front),
      options_(std::move(options)),
      report_(std::move(report)),
      daemons_(static_cast<size_t>(options_.count)) {}

DaemonSet::~DaemonSet() = default;

int DaemonSet::Port(int daemon, int which) const {
  return options_.first_port + daemon * kPortsPerDaemon + which;
}

std::string DaemonSet::CallerAddress(int daemon) const {
  return Address(Port(daemon, kCallers));
}

void DaemonSet::StartAll() {
  for (int i = 0; i < count(); ++i) {
    Daemon& daemon = daemons_[i];
    daemon.node = std::make_shared<model::ModelNode>();
    daemon.relay = std::make_unique<test::TcpRelay>(
        static_cast<uint16_t>(Port(i, kStore)), front_.port());
    front_.AddDaemon(Address(Port(i, kStore)), daemon.node);
    Start(i);
  }
  time_.After(kWatchInterval, [this] { Watch(); });
}

std::string DaemonSet::WriteSettings(int index) {
  Daemon& daemon = daemons_[index];
  // Every reload changes a bound that may change while the daemon runs.
  const int retention_s = 120 + daemon.settings_written++ % 2;
  const std::string store = Address(Port(index, kStore));
  const json settings = {
      {"entry", absl::StrCat("entry-", index)},
      {"data_centre", "dc-a"},
      {"listen",
       {{"callers", CallerAddress(index)},
        {"admin", Address(Port(index, kAdmin))},
        {"peers", Address(Port(index, kPeers))},
        {"metrics", Address(Port(index, kMetrics))}}},
      {"peers",
       {{"seeds", json::array()}, {"credential", "not-used-in-this-soak"}}},
      {"admin", {{"credential", "not-used-in-this-soak-either"}}},
      {"platform",
       {{"kind", "fleet"}, {"address", store}, {"instances_address", store}}},
      {"workers", {{"longest_lease_ms", 6000}, {"connections", 5}}},
      {"jobs", {{"status_retention_s", retention_s}}},
      {"stop", {{"grace_s", kGrace.count()}}}};
  std::string path =
      absl::StrCat(options_.directory, "/entry-", index, ".json");
  std::ofstream(path) << settings.dump(2);
  return path;
}

void DaemonSet::Start(int index) {
  Daemon& daemon = daemons_[index];
  ++daemon.life;
  daemon.paused = false;
  daemon.stopping = false;
  std::error_code none;
  const auto size = std::filesystem::file_size(LogPath(index), none);
  daemon.log_begin = none ? 0 : size;
  daemon.process = std::make_unique<test::ChildProcess>(
      options_.program,
      std::vector<std::string>{"--settings", WriteSettings(index)},
      LogPath(index));
}

void DaemonSet::StartLater(int index, milliseconds delay) {
  const uint64_t life = daemons_[index].life;
  time_.After(delay, [this, index, life] {
    if (daemons_[index].life == life && !daemons_[index].process) {
      Start(index);
    }
  });
}

void DaemonSet::Kill(int index, milliseconds down) {
  if (daemons_[index].process) {
    daemons_[index].process.reset();
    StartLater(index, down);
  }
}

void DaemonSet::Stop(int index, milliseconds down) {
  Daemon& daemon = daemons_[index];
  if (daemon.process && !daemon.stopping) {
    daemon.stopping = true;
    daemon.kill_at = time_.Now() + kGrace;
    daemon.down = down;
    daemon.process->Signal(SIGTERM);
  }
}

void DaemonSet::Pause(int index, milliseconds duration) {
  Daemon& daemon = daemons_[index];
  if (!daemon.process || daemon.paused) {
    return;
  }
  daemon.paused = true;
  daemon.process->Signal(SIGSTOP);
  time_.After(duration, [this, index, life = daemon.life] {
    Daemon& paused = daemons_[index];
    if (paused.life == life && paused.process && paused.paused) {
      paused.paused = false;
      paused.process->Signal(SIGCONT);
    }
  });
}

void DaemonSet::Reload(int index) {
  if (daemons_[index].process) {
    WriteSettings(index);
    daemons_[index].process->Signal(SIGHUP);
  }
}

void DaemonSet::Settle() {
  for (int i = 0; i < count(); ++i) {
    Daemon& daemon = daemons_[i];
    if (daemon.process && daemon.paused) {
      daemon.paused = false;
      daemon.process->Signal(SIGCONT);
    } else if (!daemon.process) {
      Start(i);
    }
  }
}

void DaemonSet::CheckEnd(int index, int code) {
  const Daemon& daemon = daemons_[index];
  if (!daemon.stopping) {
    report_(
        absl::StrCat("daemon ", index, " ended by itself with code ", code));
    return;
  }
  // A process that has not begun to serve may end by the signal itself.
  const bool never_served = code == kEndedBySigterm &&
                            !absl::StrContains(LogOfLife(index), kStartedEvent);
  if (code != 0 && !never_served) {
    report_(absl::StrCat("daemon ", index, " ended with code ", code,
                         " when asked to stop"));
  }
}

std::string DaemonSet::LogOfLife(int index) const {
  std::ifstream log(LogPath(index));
  log.seekg(static_cast<std::streamoff>(daemons_[index].log_begin));
  std::ostringstream text;
  text << log.rdbuf();
  return text.str();
}

std::string DaemonSet::LogPath(int index) const {
  return absl::StrCat(options_.directory, "/entry-", index, ".log");
}

void DaemonSet::Watch() {
  for (int i = 0; i < count(); ++i) {
    Daemon& daemon = daemons_[i];
    if (!daemon.process) {
      continue;
    }
    if (!daemon.process->Running()) {
      CheckEnd(i, daemon.process->Wait(milliseconds(0)));
      daemon.process.reset();
      StartLater(i, daemon.stopping ? daemon.down : kRestartDelay);
    } else if (daemon.stopping && time_.Now() > daemon.kill_at) {
      Kill(i, daemon.down);
    }
  }
  time_.After(kWatchInterval, [this] { Watch(); });
}

}  // namespace figflow::soak
