#include <cstdio>
#include <iostream>

#include <curl/curl.h>
#include <popt.h>

#include "Common/json.h"

#include "Bench/load_generator.h"
#include "absl/strings/str_split.h"

namespace {

// More would press the loopback of a shared machine without need.
constexpr double kMaxRate = 100000;
constexpr int kMaxSeconds = 120;

double Micros(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

}  // namespace

int main(int argc, const char** argv) {
  double rate = 100;
  int seconds = 5;
  int threads = 2;
  int max_open = 500;
  char* headers = nullptr;
  const poptOption options[] = {
      {"rate", 'r', POPT_ARG_DOUBLE, &rate, 0, "requests per second", "N"},
      {"seconds", 's', POPT_ARG_INT, &seconds, 0, "duration", "N"},
      {"threads", 't', POPT_ARG_INT, &threads, 0, "sending threads", "N"},
      {"max-open", 'm', POPT_ARG_INT, &max_open, 0, "open requests per thread",
       "N"},
      {"headers", 'H', POPT_ARG_STRING, &headers, 0,
       "request headers, separated by ';'", "LIST"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext("figflow_load", argc, argv, options, 0);
  poptSetOtherOptionHelp(context, "URL");
  const int status = poptGetNextOpt(context);
  const char* url = poptGetArg(context);
  if (status < -1 || url == nullptr || rate <= 0 || rate > kMaxRate ||
      seconds <= 0 || seconds > kMaxSeconds || threads <= 0) {
    poptPrintUsage(context, stderr, 0);
    return 2;
  }
  curl_global_init(CURL_GLOBAL_ALL);

  figflow::bench::LoadPlan plan;
  plan.url = url;
  plan.rate = rate;
  plan.duration = std::chrono::seconds(seconds);
  plan.threads = threads;
  plan.max_open = max_open;
  if (headers != nullptr) {
    plan.headers = absl::StrSplit(headers, ';', absl::SkipEmpty());
  }
  poptFreeContext(context);

  figflow::LatencyHistogram latency;
  const figflow::bench::LoadResult result =
      figflow::bench::RunLoad(plan, latency);
  const double elapsed = std::chrono::duration<double>(result.elapsed).count();
  const nlohmann::json report = {
      {"rate", rate},
      {"sent", result.sent},
      {"completed", result.completed},
      {"not_run", result.not_run},
      {"unknown", result.unknown},
      {"failed", result.failed},
      {"elapsed_s", elapsed},
      {"throughput_per_s", static_cast<double>(result.completed) / elapsed},
      {"p50_us", Micros(latency.Quantile(0.5))},
      {"p90_us", Micros(latency.Quantile(0.9))},
      {"p99_us", Micros(latency.Quantile(0.99))}};
  std::cout << report.dump() << "\n";
  return 0;
}
