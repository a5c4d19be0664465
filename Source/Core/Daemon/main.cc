#include <csignal>
#include <ctime>
#include <iostream>
#include <string>

#include <popt.h>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/log.h"
#include "Daemon/daemon.h"
#include "Settings/settings.h"
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

int RunDaemon(const figflow::Settings& settings) {
  // Blocked before any thread starts, so that only sigwait sees the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection is an error of a write, not a signal.
  std::signal(SIGPIPE, SIG_IGN);

  // Debian's default checks the order of all locks in one global graph, at a
  // cost on every request; the sanitizer builds of the tests look for such
  // faults instead.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  figflow::InitLogging(figflow::LogLevel::kInfo);
  const figflow::SystemClock clock;
  figflow::Daemon daemon(settings, clock);
  const figflow::Result<void> started = daemon.Start();
  if (!started) {
    figflow::LogEvent(figflow::LogLevel::kError, figflow::LogCategory::kDaemon,
                      "start_failed",
                      {{"error", figflow::ToString(started.error())}});
    return kExitFailure;
  }
  while (sigtimedwait(&signals, nullptr, &kCheckInterval) < 0) {
    if (daemon.superseded()) {
      figflow::LogEvent(figflow::LogLevel::kError,
                        figflow::LogCategory::kDaemon, "superseded", {});
      daemon.Stop();
      return kExitFailure;
    }
  }
  daemon.Stop();
  return 0;
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
  return check_path != nullptr ? 0 : RunDaemon(*settings);
}
