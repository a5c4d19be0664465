#include "play.h"

#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <iostream>
#include <thread>

namespace standin {
namespace {

constexpr char kHost[] = "mill.example";
constexpr milliseconds kPatience{3000};

}  // namespace

std::string JobId(int number) {
  char text[17];
  snprintf(text, sizeof(text), "%016x", static_cast<unsigned>(number));
  return text;
}

Play::Play(int count, char** arguments)
    : record(count > 2 ? arguments[2] : "record.txt"),
      platform(&store, &record),
      cloud(&platform),
      daemons(count > 1 ? arguments[1] : "target/bin/figflowd",
              &record,
              {store.address(), cloud.address()}) {
  signal(SIGPIPE, SIG_IGN);
}

void Play::Configure(const std::vector<std::string>& services,
                     const json& advice) {
  json routes = json::array();
  json rows = json::array();
  for (const std::string& service : services) {
    const bool spare = service.rfind("spare", 0) == 0;
    rows.push_back({{"Name", service},
                    {"HealthPath", "/health"},
                    {"MaxConns", 64},
                    {"Protocol", "h1"},
                    {"Tls", false},
                    {"RejectsOverload", true},
                    {"Spare", spare}});
    if (!spare) {
      pools_.push_back(service);
      routes.push_back({{"Name", "queue-" + service},
                        {"Host", kHost},
                        {"Prefix", "/" + service + "/"},
                        {"Kind", "non_idempotent"},
                        {"TimeoutMs", 3000},
                        {"TargetDurationMs", 600},
                        {"Priority", 0},
                        {"Service", service},
                        {"MaxAttempts", 4},
                        {"Stretch", 1.6}});
      if (!advice.is_null()) {
        routes.back()["Advice"] = advice;
      }
    }
  }
  store.Put("op/config", {{"Version", ++version_},
                          {"Routes", routes},
                          {"Services", rows},
                          {"Limits",
                           {{"MaxHeaderBytes", 16384},
                            {"MaxBodyBytes", 262144},
                            {"HeaderTimeoutMs", 3000},
                            {"IdleTimeoutMs", 15000}}}});
}

bool Play::StartDaemons(int count) {
  for (int i = 0; i < count; ++i) {
    daemons.Start();
  }
  if (!daemons.WaitReady(milliseconds(15000))) {
    return false;
  }
  const int64_t until = NowMs() + 15000;
  for (const std::string& pool : pools_) {
    while (store.Get("figflow/owner/" + pool).empty()) {
      if (NowMs() > until) {
        return false;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  // Owners of the pools contact their executors first.
  std::this_thread::sleep_for(milliseconds(1500));
  return true;
}

bool Play::Submit(const std::string& service,
                  const std::string& id,
                  const json& job) {
  const int64_t until = NowMs() + 10000;
  while (NowMs() < until) {
    const std::string address =
        daemons.CallerAddress(next_daemon_++ % daemons.count());
    const Response answer = Call(address, "POST", "/" + service + "/" + id,
                                 kHost, job.dump(), kPatience);
    record.Line("sent job " + id + ", answered " +
                std::to_string(answer.status));
    if (answer.status / 100 == 2) {
      return true;
    }
    if (answer.status == 503 || answer.status == 429) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
  return false;
}

std::string Play::State(const std::string& service, const std::string& id) {
  const std::string address =
      daemons.CallerAddress(next_daemon_++ % daemons.count());
  const Response answer =
      Call(address, "GET", "/" + service + "/" + id, kHost, "", kPatience);
  return answer.status == 200 && answer.body.is_object()
             ? answer.body.value("State", std::string())
             : std::to_string(answer.status);
}

void Play::Finish(int code, const std::string& what) {
  daemons.End();
  record.Line(what);
  std::cout << what << std::endl;
  _exit(code);
}

}  // namespace standin
