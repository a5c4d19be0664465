#include "Pools/ledger.h"

#include <algorithm>

namespace figflow {

WallTime ToLedgerTime(WallTime time) {
  return FromEpoch(SinceEpoch(time));
}

void CloseLedgerInterval(DataCentreDocument& document,
                         InstanceRecord& record,
                         WallTime now) {
  const WallTime end = std::max(ToLedgerTime(now), record.since);
  document.ledger[record.project] +=
      std::chrono::duration_cast<std::chrono::milliseconds>(end - record.since);
  record.since = end;
}

std::map<ProjectId, std::chrono::milliseconds> LedgerTotals(
    const DataCentreDocument& document,
    WallTime now) {
  DataCentreDocument copy;
  copy.ledger = document.ledger;
  for (const auto& [id, record] : document.instances) {
    InstanceRecord open = record;
    CloseLedgerInterval(copy, open, now);
  }
  return copy.ledger;
}

}  // namespace figflow
