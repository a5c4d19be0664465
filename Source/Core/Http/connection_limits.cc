#include "Http/connection_limits.h"

#include <algorithm>

namespace figflow {
namespace {

size_t AtLeastOne(size_t count) {
  return std::max<size_t>(count, 1);
}

}  // namespace

ConnectionLimits ConnectionLimitsFor(const InstanceLimits& instance,
                                     size_t bytes_per_connection) {
  ConnectionLimits limits;
  limits.budget = (static_cast<size_t>(instance.memory_mb) << 20) * 2 / 5;
  const size_t connections = limits.budget / 2 / bytes_per_connection;
  // A process without a limit of descriptors states the largest number.
  const auto descriptors = static_cast<size_t>(
      std::min<uint64_t>(instance.descriptors, uint64_t{1} << 30));
  limits.callers = AtLeastOne(
      std::min({instance.callers, connections * 3 / 5, descriptors * 2 / 5}));
  limits.peers = AtLeastOne(
      std::min({instance.peers, connections * 2 / 5, descriptors / 8}));
  return limits;
}

}  // namespace figflow
