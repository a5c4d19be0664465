#include <csignal>
#include <ctime>
#include <iostream>
#include <string>

#include <popt.h>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/log.h"
#include "Daemon/daemon.h"
#include "Daemon/fleet_daemon.h"
#include "Settings/settings.h"
#include "Settings/settings_file.h"
#include "absl/synchronization/mutex.h"

namespace {

constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;
// How often the daemon looks whether a newer incarnation took its place.
constexpr timespec kCheckInterval = {1, 0};

// Prints one line per fault to standard error.
tl::expected<figflow::Settings, int> LoadSettings(const std::string& path) {
  const figflow::Result<std::string> text = figflow::ReadSettingsFile(path);
  if (!text) {
    std::cerr << path << ": " << text.error().message << "\n";
    return tl::unexpected<int>(kExitBadSettings);
  }
  auto settings = figflow::ParseSettings(*text);
  if (!settings) {
    for (const figflow::SettingsFault& fault : settings.error()) {
      std::cerr << path << ": " << fault.path << ": " << fault.message << "\n";
    }
    return tl::unexpected<int>(kExitBadSettings);
  }
  return *settings;
}

// Ends when a signal asks for it. `step` is called about once a second and
// returns false when the daemon has to end by itself.
template <typename Step, typename Reload>
bool WaitForStop(const sigset_t& signals, Step step, Reload reload) {
  while (true) {
    const int signal = sigtimedwait(&signals, nullptr, &kCheckInterval);
    if (signal == SIGHUP) {
      reload();
    } else if (signal > 0) {
      return true;
    } else if (!step()) {
      return false;
    }
  }
}

int ReportStartFailure(const figflow::Error& error) {
  figflow::LogEvent(figflow::LogLevel::kError, figflow::LogCategory::kDaemon,
                    "start_failed", {{"error", figflow::ToString(error)}});
  return kExitFailure;
}

int RunFleetDaemon(const figflow::Settings& settings,
                   const std::string& path,
                   const sigset_t& signals) {
  const figflow::SystemClock clock;
  figflow::FleetDaemon daemon(settings, clock);
  if (const figflow::Result<void> started = daemon.Start(); !started) {
    return ReportStartFailure(started.error());
  }
  figflow::SettingsFileWatch watch(path);
  const auto reload = [&] {
    if (const auto changed = LoadSettings(path)) {
      daemon.Reload(*changed);
    }
  };
  WaitForStop(
      signals,
      [&] {
        if (watch.Changed()) {
          reload();
        }
        return true;
      },
      [&] {
        watch.Changed();
        reload();
      });
  daemon.Stop();
  return 0;
}

int RunDaemon(const figflow::Settings& settings, const std::string& path) {
  // Blocked before any thread starts, so that only sigwait sees the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection is an error of a write, not a signal.
  std::signal(SIGPIPE, SIG_IGN);

  // Debian's default checks the order of all locks in one global graph, at a
  // cost on every request; the sanitizer builds of the tests look for such
  // faults instead.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  figflow::InitLogging(figflow::LogLevel::kInfo);
  if (settings.platform_kind == "fleet") {
    return RunFleetDaemon(settings, path, signals);
  }
  const figflow::SystemClock clock;
  figflow::Daemon daemon(settings, clock);
  if (const figflow::Result<void> started = daemon.Start(); !started) {
    return ReportStartFailure(started.error());
  }
  const bool asked = WaitForStop(
      signals, [&] { return !daemon.superseded(); }, [] {});
  if (!asked) {
    figflow::LogEvent(figflow::LogLevel::kError, figflow::LogCategory::kDaemon,
                      "superseded", {});
  }
  daemon.Stop();
  return asked ? 0 : kExitFailure;
}

}  // namespace

int main(int argc, const char** argv) {
  char* settings_path = nullptr;
  char* check_path = nullptr;
  int reference = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &settings_path, 0,
       "run with these settings", "FILE"},
      {"check", 'c', POPT_ARG_STRING, &check_path, 0,
       "validate settings and exit: 0 valid, 2 invalid", "FILE"},
      {"settings-reference", 0, POPT_ARG_NONE, &reference, 0,
       "print the settings reference as Markdown", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("figflowd", argc, argv, options, 0);
  const int status = poptGetNextOpt(context);
  const bool usage =
      status < -1 || poptPeekArg(context) != nullptr ||
      (settings_path == nullptr && check_path == nullptr && reference == 0);
  if (usage) {
    poptPrintUsage(context, stderr, 0);
  }
  poptFreeContext(context);
  if (usage) {
    return kExitBadSettings;
  }
  if (reference != 0) {
    std::cout << figflow::SettingsReference();
    return 0;
  }
  const auto settings =
      LoadSettings(check_path != nullptr ? check_path : settings_path);
  if (!settings) {
    return settings.error();
  }
  return check_path != nullptr ? 0 : RunDaemon(*settings, settings_path);
}
