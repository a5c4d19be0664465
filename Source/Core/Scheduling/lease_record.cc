#include "Scheduling/lease_record.h"

#include <utility>

#include "Common/json.h"

#include "Common/cbor.h"

namespace figflow {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

}  // namespace

std::string FormatRemainingLeases(const RemainingLeases& leases) {
  json rows = json::array();
  for (const auto& [worker, remaining] : leases) {
    rows.push_back(
        json::array({worker.id, worker.incarnation, remaining.count()}));
  }
  return FormatCbor(rows);
}

Result<RemainingLeases> ParseRemainingLeases(absl::string_view bytes) {
  return ParseCbor<RemainingLeases>(
      bytes, "lease.record", [](const json& rows) {
        RemainingLeases leases;
        for (const json& row : rows) {
          const WorkerKey worker{row.at(0).get<std::string>(),
                                 row.at(1).get<int64_t>()};
          leases[worker] = milliseconds(row.at(2).get<int64_t>());
        }
        return leases;
      });
}

}  // namespace figflow
