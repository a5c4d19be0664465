#ifndef BENCH_LOAD_GENERATOR_H_
#define BENCH_LOAD_GENERATOR_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/metrics.h"

namespace figflow::bench {

struct LoadPlan {
  std::string url;
  // Requests per second, at fixed intervals whether or not earlier ones have
  // been answered (open loop).
  double rate = 100;
  std::chrono::milliseconds duration{1000};
  int threads = 2;
  // Requests that may be open at once per thread; further ones wait and their
  // wait counts as latency.
  int max_open = 500;
  std::chrono::milliseconds timeout{5000};
  // Sent with each request, such as "Figflow-Deadline-Ms: 500".
  std::vector<std::string> headers;
};

struct LoadResult {
  uint64_t sent = 0;
  // Responses with status 200.
  uint64_t completed = 0;
  // figflow's own refusals, by disposition.
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  // No response: connection failures and timeouts.
  uint64_t failed = 0;
  std::chrono::milliseconds elapsed{0};
};

// Sends the planned load and records the latency of each 200 response, measured
// from the time the request was due. A slow server therefore cannot hide its
// delay by slowing the generator (coordinated omission).
LoadResult RunLoad(const LoadPlan& plan, LatencyHistogram& latency);

}  // namespace figflow::bench

#endif  // BENCH_LOAD_GENERATOR_H_
