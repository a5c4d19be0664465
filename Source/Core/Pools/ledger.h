#ifndef POOLS_LEDGER_H_
#define POOLS_LEDGER_H_

#include <chrono>
#include <map>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Pools/data_centre_document.h"

namespace figflow {

// Closes the open interval of the record at `now` and adds it to its project;
// the next interval begins at the same instant. A `now` before the interval's
// begin (a clock that went back) counts as the begin, so no instant is counted
// twice.
void CloseLedgerInterval(DataCentreDocument& document,
                         InstanceRecord& record,
                         WallTime now);

// Instance time by project up to `now`, open intervals included.
std::map<ProjectId, std::chrono::milliseconds> LedgerTotals(
    const DataCentreDocument& document,
    WallTime now);

// `time` in whole milliseconds, the resolution of durable documents. Intervals
// that were cut at a finer resolution would not add up after parsing.
WallTime ToLedgerTime(WallTime time);

}  // namespace figflow

#endif  // POOLS_LEDGER_H_
