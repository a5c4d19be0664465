#ifndef POOLS_LEDGER_H_
#define POOLS_LEDGER_H_

#include <chrono>
#include <map>

#include "Common/clock.h"
#include "Common/strong_id.h"
#include "Pools/data_centre_document.h"

namespace figflow {

// Closes the open ledger interval of the record at `now` and adds its length to
// the record's project. The next interval starts at the same time. If `now` is
// before the start of the interval (because a clock was set back), the interval
// is closed with zero length, so that no time is counted twice.
void CloseLedgerInterval(DataCentreDocument& document,
                         InstanceRecord& record,
                         WallTime now);

// Returns the instance time by project up to `now`, including open intervals.
std::map<ProjectId, std::chrono::milliseconds> LedgerTotals(
    const DataCentreDocument& document,
    WallTime now);

// Truncates `time` to whole milliseconds, the resolution of stored documents.
// With a finer resolution, consecutive intervals would not add up after
// parsing.
WallTime ToLedgerTime(WallTime time);

}  // namespace figflow

#endif  // POOLS_LEDGER_H_
