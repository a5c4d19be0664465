#ifndef DAEMON_ADMIN_VIEWS_H_
#define DAEMON_ADMIN_VIEWS_H_

#include <map>
#include <utility>
#include <vector>

#include "Admin/admin_types.h"
#include "Budget/budget_document.h"
#include "Common/clock.h"
#include "FleetConfig/fleet_configuration.h"
#include "Peer/peer_service.h"
#include "Pools/data_centre_document.h"
#include "Sheet/sheet_diff.h"
#include "Sheet/sheet_fault.h"

namespace figflow {

// Rows of the administration API, made from the durable documents and the
// configuration. All functions are pure.

std::vector<SheetFaultView> FaultViews(const std::vector<SheetFault>& faults);

// One change per added or removed row and per changed column.
std::vector<SheetChangeView> ChangeViews(const SheetDiff& diff);

std::vector<DaemonRow> DaemonRows(const PeerDigest& local,
                                  const std::map<EntryId, PeerView>& peers);

// `documents` holds the data centre documents that could be read.
std::vector<PoolRow> PoolRows(const FleetConfiguration& configuration,
                              const std::vector<DataCentreDocument>& documents,
                              const AdminFilter& filter);

std::vector<InstanceRow> InstanceRows(
    const std::vector<DataCentreDocument>& documents,
    const AdminFilter& filter);

std::vector<LedgerRow> LedgerRows(
    const std::vector<DataCentreDocument>& documents,
    WallTime now,
    const AdminFilter& filter);

std::vector<ProjectRow> ProjectRows(
    const FleetConfiguration& configuration,
    const std::vector<DataCentreDocument>& documents,
    const std::map<ProjectId, BudgetDocument>& budgets,
    WallTime now,
    const AdminFilter& filter);

}  // namespace figflow

#endif  // DAEMON_ADMIN_VIEWS_H_
