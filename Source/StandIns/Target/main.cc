#include <popt.h>

#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>

#include "StandIns/Target/target_server.h"
#include "absl/strings/numbers.h"

namespace {

constexpr int kUsageError = 2;
constexpr unsigned kHighestPort = 65535;

}  // namespace

int main(int argc, const char** argv) {
  char* listen = nullptr;
  char* mode_name = nullptr;
  int slots = 8;
  int connections = 64;
  int delay_ms = 0;
  const poptOption options[] = {
      {"listen", 'l', POPT_ARG_STRING, &listen, 0, "Address to listen on",
       "IP:PORT"},
      {"slots", 's', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &slots, 0,
       "Requests executed at once", "N"},
      {"connections", 'c', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
       &connections, 0, "Connections that may be open at once", "N"},
      {"delay-ms", 'd', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &delay_ms, 0,
       "Time added to each request", "MS"},
      {"mode", 'm', POPT_ARG_STRING, &mode_name, 0,
       "normal, truncated, close-delimited, die, leaving or late", "MODE"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context =
      poptGetContext("standin_target", argc, argv, options, 0);
  const int parsed = poptGetNextOpt(context);
  const std::string address = listen == nullptr ? "" : listen;
  figflow::TargetMode mode = figflow::TargetMode::kNormal;
  const size_t colon = address.rfind(':');
  unsigned port = 0;
  if (parsed != -1 || colon == std::string::npos ||
      !absl::SimpleAtoi(address.substr(colon + 1), &port) ||
      port > kHighestPort ||
      (mode_name != nullptr && !figflow::ParseTargetMode(mode_name, &mode))) {
    std::cerr << "standin_target: --listen IP:PORT is needed, --mode must be "
                 "known; see --help\n";
    poptFreeContext(context);
    return kUsageError;
  }
  poptFreeContext(context);

  // Blocked before the threads start, so that only sigwait sees them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  figflow::TargetLimits limits;
  limits.slots = slots;
  limits.connections = connections;
  limits.delay = std::chrono::milliseconds(delay_ms);
  figflow::Result<std::unique_ptr<figflow::TargetServer>> server =
      figflow::TargetServer::Start(address.substr(0, colon),
                                   static_cast<uint16_t>(port), limits);
  if (!server) {
    std::cerr << figflow::ToString(server.error()) << "\n";
    return 1;
  }
  (*server)->state().SetMode(mode);
  std::cout << "listening on " << (*server)->address() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  (*server)->Stop();
  return 0;
}
