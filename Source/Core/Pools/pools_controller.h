#ifndef POOLS_POOLS_CONTROLLER_H_
#define POOLS_POOLS_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/error.h"
#include "Common/strong_id.h"
#include "Platform/fleet_service.h"
#include "Pools/data_centre_store.h"
#include "Pools/instance_ownership.h"
#include "Pools/membership.h"
#include "Routing/dispatcher.h"

namespace figflow {

// The requests and connections of this daemon at the targets. Thread-safe with
// respect to request threads.
class LocalTraffic {
 public:
  virtual ~LocalTraffic() = default;

  // Replaces the limits. Requests in flight above a lowered limit may finish,
  // but after the call no request is admitted above it.
  virtual void Install(const RoutingTable& table, MonoTime now) = 0;

  // Returns the number of requests in flight at the instance that were admitted
  // for the pool.
  virtual int InFlight(const PoolId& pool,
                       const InstanceId& instance) const = 0;

  // Returns the number of open connections to the instance, including idle
  // ones.
  virtual int Connections(const InstanceId& instance) const = 0;
};

// Settings of a PoolsController.
struct PoolsOptions {
  EntryId self;
  // Increases with each start of the daemon.
  uint64_t incarnation = 0;
  // Maximum deadline of a request plus a grace period.
  std::chrono::milliseconds request_bound{60'000};
  // Moves begin only after the wanted numbers of instances have been unchanged
  // for this time, so that a correction shortly after applying a sheet does not
  // move instances twice.
  std::chrono::milliseconds config_settle_delay{2'000};
};

// Input of one step.
struct PoolsInput {
  MonoTime now;
  WallTime wall;
  PoolsConfig config;
  // The platform's list; nullopt while it cannot be read.
  std::optional<std::vector<ListedInstance>> listed;
  // Instances with a task that has not ended; nullopt while unknown. A draining
  // instance among them does not change its pool; while unknown, none does.
  std::optional<std::set<InstanceId>> busy = std::set<InstanceId>();
};

// Result of one step.
struct PoolsStatus {
  RoutingTable table;
  uint64_t epoch = 0;
  uint64_t change = 0;
  // Whether this incarnation is a member of the current epoch.
  bool member = false;
  // Whether no share of an earlier epoch is in use.
  bool settled = false;
  // Whether this incarnation was removed; only a new incarnation may join
  // again.
  bool removed = false;
  // Whether the share was released after a call of Release; the process may
  // end.
  bool released = false;
  // First error of the step.
  std::optional<Error> error;
};

// Returns the confirmation that the entry may write given its requests in
// flight. `previous` is its last confirmation. The limits that follow from
// `document` must already be installed in `traffic`.
Confirmation NextConfirmation(const DataCentreDocument& document,
                              const Confirmation& previous,
                              const LocalTraffic& traffic);

// Returns the routing table with the member's usable shares. Omits instances
// that are not active or belong to the spare pool.
RoutingTable BuildRoutingTable(const DataCentreDocument& document,
                               const EntryId& entry,
                               uint64_t incarnation,
                               bool settled,
                               const PoolsConfig& config);

// Keeps this daemon's membership and the pools of instances in the data centre
// document up to date and installs the resulting routing table. Not
// thread-safe: Step, Release and RemoveEntry are called from one thread, which
// calls Step after each change reported by DataCentreStore::Watch and at least
// every second.
class PoolsController {
 public:
  PoolsController(DataCentreStore& store,
                  LocalTraffic& traffic,
                  PoolsOptions options);

  // Installs the limits, writes the confirmation and applies due changes to the
  // document. While the store is unavailable, the last limits stay in force.
  // Accesses the store only if there is something to read or write.
  PoolsStatus Step(const PoolsInput& input);

  // Requests the release of this daemon's share. No request is admitted from
  // the next step on, and the share is released in the first step without
  // requests in flight.
  void Release() { releasing_ = true; }

  // Removes a member at the request of an operator. kNotFound if the entry is
  // not a member.
  Result<void> RemoveEntry(const EntryId& entry);

 private:
  // Sets the document that the following decisions are based on and updates the
  // state derived from it.
  void Observe(const DataCentreDocument& document, const PoolsInput& input);
  void InstallTable(const PoolsInput& input, PoolsStatus& status);
  void Confirm(PoolsStatus& status);
  void ReadConfirmations(const PoolsInput& input, PoolsStatus& status);
  // Deletes the confirmations of former members. Done once per epoch, by the
  // first member.
  void PruneConfirmations(PoolsStatus& status);
  // Applies all due changes to `document`. Returns whether there were any.
  Result<bool> Decide(DataCentreDocument& document,
                      const DocumentChange& change,
                      const PoolsInput& input) const;
  Result<bool> ApplyMembershipChanges(DataCentreDocument& document,
                                      const DocumentChange& change,
                                      const PoolsInput& input) const;
  bool ApplyMoves(DataCentreDocument& document,
                  const DocumentChange& change,
                  const PoolsInput& input) const;
  bool IsSettledNow(const DataCentreDocument& document, MonoTime now) const;
  bool NeedsConfirmations() const;
  bool NothingInFlight() const;
  void RecordError(const Error& error, PoolsStatus& status) const;

  DataCentreStore& store_;
  LocalTraffic& traffic_;
  const PoolsOptions options_;
  RemovalTracker removals_;
  DataCentreDocument document_;
  Confirmations confirmations_;
  Confirmation confirmation_;
  // False while `own_` has not been written to the store.
  bool confirmation_written_ = true;
  // Last epoch that was found settled. It stays settled when a newer
  // incarnation overwrites a confirmation.
  std::string settled_epoch_id_;
  std::string pruned_epoch_id_;
  std::vector<PoolSettings> last_pools_;
  MonoTime pools_changed_at_;
  bool was_member_ = false;
  bool removed_ = false;
  bool releasing_ = false;
  bool released_ = false;
};

}  // namespace figflow

#endif  // POOLS_POOLS_CONTROLLER_H_
