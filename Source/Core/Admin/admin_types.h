#ifndef ADMIN_ADMIN_TYPES_H_
#define ADMIN_ADMIN_TYPES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/strong_id.h"

namespace figflow {

// Restricts a list. An empty field restricts nothing.
struct AdminFilter {
  ProjectId project;
  PoolId pool;
  TeamId team;
  DataCentreId data_centre;
  // State name as printed in the list, such as "running".
  std::string state;
};

struct SheetInForce {
  uint64_t revision = 0;
  // CSV with the line "#revision,N", ready to be edited and applied.
  std::string csv;
};

struct SheetFaultView {
  // Line of the file, counted from 1; 0 for the file as a whole.
  int row = 0;
  // Column name; empty for the whole row.
  std::string column;
  std::string message;
};

struct SheetCheck {
  // Revision the sheet names as its base.
  uint64_t base_revision = 0;
  int rows = 0;
  // Empty when the sheet may be applied.
  std::vector<SheetFaultView> faults;
};

struct SheetChangeView {
  // "added", "removed" or "changed".
  std::string kind;
  ProjectId project;
  PoolId pool;
  DataCentreId data_centre;
  // For "changed": the column and its values; otherwise empty.
  std::string column;
  std::string before;
  std::string after;
};

struct SheetDiffView {
  uint64_t base_revision = 0;
  // Revision in force that the sheet was compared with.
  uint64_t revision = 0;
  std::vector<SheetChangeView> changes;
};

struct SheetApplied {
  // Durable revision that holds the sheet.
  uint64_t revision = 0;
  std::string apply_id;
};

// One daemon as seen by the answering daemon.
struct DaemonRow {
  EntryId entry;
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  std::string address;
  uint64_t config_revision = 0;
  // The daemon has the answering daemon's configuration revision in force.
  bool confirmed = false;
  bool suspect = false;
  bool stopping = false;
};

struct StatusReport {
  EntryId entry;
  uint64_t incarnation = 0;
  DataCentreId data_centre;
  uint64_t config_revision = 0;
  bool ready = false;
  // The platform's store answered the last call.
  bool store_reachable = false;
  // This daemon first, then its peers by id.
  std::vector<DaemonRow> daemons;
};

struct ProjectRow {
  ProjectId project;
  TeamId team;
  std::string priority;
  // Instances in the sheet and instances accounted to the project now.
  int wanted = 0;
  int owned = 0;
  int down = 0;
  int max_down = 0;
  // Availability budget of the UTC day in instance-minutes.
  double budget_minutes = 0;
  double used_minutes = 0;
  double reserved_minutes = 0;
};

struct PoolRow {
  ProjectId project;
  PoolId pool;
  DataCentreId data_centre;
  int wanted = 0;
  int active = 0;
  int draining = 0;
  int free_slots = 0;
  int queued_short = 0;
  int queued_long = 0;
};

struct InstanceRow {
  InstanceId instance;
  DataCentreId data_centre;
  RackId rack;
  // "active", "draining", "leaving", "down" or "quarantined".
  std::string state;
  ProjectId project;
  PoolId pool;
  // Destination of a move; empty when none is under way.
  PoolId moving_to;
  uint64_t boot = 0;
};

struct LedgerRow {
  DataCentreId data_centre;
  ProjectId project;
  // Instances with an open interval.
  int instances = 0;
  // Closed and open intervals up to `as_of`.
  std::chrono::seconds instance_time{0};
  WallTime as_of;
};

struct JobSubmission {
  // Chosen by the submitter; a repeated submission with the same id has no
  // further effect.
  JobId id;
  ProjectId project;
  TeamId team;
  PoolId pool;
  // "normal" or "urgent".
  std::string priority;
  double cores = 0;
  int64_t memory_mb = 0;
  int accelerators = 0;
  std::string command;
};

struct JobRow {
  JobId id;
  ProjectId project;
  TeamId team;
  PoolId pool;
  std::string priority;
  std::string state;
  // Empty unless placed.
  InstanceId worker;
  // Why the job was refused or failed.
  std::string reason;
};

struct RolloutStart {
  ProjectId project;
  // Names the roll-out; starting the same one again has no further effect.
  std::string rollout;
};

struct RolloutRow {
  ProjectId project;
  std::string rollout;
  // "running", "paused", "halted" or "finished".
  std::string state;
  // 0 is the canary.
  int wave = 0;
  int in_flight = 0;
  int done = 0;
  int failed = 0;
  int total = 0;
  // Why the roll-out halted or waits.
  std::string reason;
};

struct EntryRemoval {
  EntryId entry;
  DataCentreId data_centre;
  // Member epoch without the entry.
  uint64_t epoch = 0;
};

}  // namespace figflow

#endif  // ADMIN_ADMIN_TYPES_H_
