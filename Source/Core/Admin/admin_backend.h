#ifndef ADMIN_ADMIN_BACKEND_H_
#define ADMIN_ADMIN_BACKEND_H_

#include <string>
#include <vector>

#include "Common/json.h"

#include "Admin/admin_types.h"
#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Operations behind the operators' API, one method each. Implemented by the
// daemon. Methods may block on the store and are called from any thread.
//
// Errors: kInvalid and kNotFound for wrong input, kConflict when another
// change won, kUnavailable when nothing was changed, kUnknownOutcome when a
// change may have taken effect.
class AdminBackend {
 public:
  virtual ~AdminBackend() = default;

  // The error says why the daemon is not ready.
  virtual Result<void> Ready() = 0;
  // Lines "name value".
  virtual std::string Metrics() = 0;
  // Whole state of this daemon for diagnosis; the shape is not fixed.
  virtual nlohmann::json State() = 0;

  virtual Result<SheetInForce> GetSheet() = 0;
  // A sheet with faults is a successful check; errors are for other failures.
  virtual Result<SheetCheck> CheckSheet(absl::string_view csv) = 0;
  virtual Result<SheetDiffView> DiffSheet(absl::string_view csv) = 0;
  // Returns when the revision is durable. A repeated call with the same
  // `apply_id` reports the revision of the first; an empty id is replaced by
  // a new one.
  virtual Result<SheetApplied> ApplySheet(absl::string_view csv,
                                          const std::string& apply_id) = 0;

  virtual Result<StatusReport> Status() = 0;
  virtual Result<std::vector<ProjectRow>> Projects(
      const AdminFilter& filter) = 0;
  virtual Result<std::vector<PoolRow>> Pools(const AdminFilter& filter) = 0;
  virtual Result<std::vector<InstanceRow>> Instances(
      const AdminFilter& filter) = 0;
  virtual Result<std::vector<LedgerRow>> Ledger(const AdminFilter& filter) = 0;

  // Returns when the record is durable; the row tells a refusal of the job.
  virtual Result<JobRow> SubmitJob(const JobSubmission& job) = 0;
  virtual Result<std::vector<JobRow>> Jobs(const AdminFilter& filter) = 0;
  virtual Result<JobRow> GetJob(const ProjectId& project, const JobId& id) = 0;
  // The row tells which party won when the job ended at the same time.
  virtual Result<JobRow> CancelJob(const ProjectId& project,
                                   const JobId& id) = 0;

  virtual Result<RolloutRow> StartMaintenance(const RolloutStart& start) = 0;
  virtual Result<RolloutRow> PauseMaintenance(const ProjectId& project) = 0;
  // Also resumes a roll-out that failures halted.
  virtual Result<RolloutRow> ResumeMaintenance(const ProjectId& project) = 0;
  virtual Result<std::vector<RolloutRow>> Maintenance(
      const AdminFilter& filter) = 0;

  // Declares an entry instance gone. Its share of slots is reused after the
  // request bound has passed.
  virtual Result<EntryRemoval> RemoveEntry(const EntryId& entry) = 0;
};

}  // namespace figflow

#endif  // ADMIN_ADMIN_BACKEND_H_
