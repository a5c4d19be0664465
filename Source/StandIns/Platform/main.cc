#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <popt.h>

#include "Common/clock.h"
#include "StandIns/Platform/platform_server.h"
#include "StandIns/Platform/standin_settings.h"

namespace {

using figflow::standin::ParseStandinSettings;
using figflow::standin::PlatformServer;
using figflow::standin::StandinSettings;

constexpr int kExitUsage = 2;

int Run(const StandinSettings& settings) {
  // Blocked before any thread starts, so that only sigwait sees them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const figflow::SystemClock clock;
  PlatformServer server(settings, clock);
  if (const auto started = server.Start(); !started) {
    std::cerr << ToString(started.error()) << "\n";
    return 1;
  }
  std::cout << "listening on " << server.address() << std::endl;
  int received = 0;
  sigwait(&signals, &received);
  server.Stop();
  return 0;
}

}  // namespace

int main(int argc, const char** argv) {
  char* listen = nullptr;
  const poptOption options[] = {
      {"listen", 'l', POPT_ARG_STRING, &listen, 0,
       "address to listen on instead of the file's", "IP:PORT"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("standin_platform", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "[OPTIONS] FLEET.json");
  const int parsed = poptGetNextOpt(context);
  const char* path = poptGetArg(context);
  if (parsed < -1 || path == nullptr) {
    poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    return kExitUsage;
  }
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  figflow::Result<StandinSettings> settings = ParseStandinSettings(text.str());
  if (!file || !settings) {
    std::cerr << path << ": "
              << (file ? settings.error().message : "cannot be read") << "\n";
    poptFreeContext(context);
    return kExitUsage;
  }
  if (listen != nullptr) {
    settings->listen = listen;
  }
  poptFreeContext(context);
  return Run(*settings);
}
