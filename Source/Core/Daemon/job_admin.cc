#include <utility>

#include "Daemon/admin_service.h"
#include "Jobs/job_record.h"
#include "Jobs/job_store.h"

namespace figflow {
namespace {

constexpr char kUrgent[] = "urgent";

JobRow RowOf(const JobRecord& record) {
  JobRow row;
  row.id = record.id;
  row.project = record.project;
  row.team = record.team;
  row.pool = record.pool;
  row.priority = record.urgent ? kUrgent : "normal";
  row.state = std::string(JobStateName(record.state));
  row.worker = record.worker;
  row.reason = record.reason;
  return row;
}

Result<JobRow> RowOrError(const Result<StoredJob>& job) {
  if (!job) {
    return tl::unexpected<Error>(job.error());
  }
  return RowOf(job->record);
}

bool SameSubmission(const JobRecord& a, const JobRecord& b) {
  return a.project == b.project && a.team == b.team && a.pool == b.pool &&
         a.urgent == b.urgent && a.command == b.command &&
         a.declared.cores == b.declared.cores &&
         a.declared.memory_mb == b.declared.memory_mb &&
         a.declared.accelerators == b.declared.accelerators;
}

}  // namespace

Result<JobRow> AdminService::SubmitJob(const JobSubmission& job) {
  const auto in_force = parts_.config.InForce();
  JobRecord record;
  record.id = job.id;
  record.project = job.project;
  record.team = job.team;
  record.pool = job.pool;
  record.urgent = job.priority == kUrgent;
  record.command = job.command;
  record.declared = {job.cores, job.memory_mb, job.accelerators};
  record.submitted_at = SinceEpoch(parts_.clock.WallNow());
  // Project, team and pool must agree with the configuration in force.
  bool known = false;
  for (const SheetRow& row : in_force->rows) {
    if (row.project != job.project) {
      continue;
    }
    known = known || job.pool.empty() || row.pool == job.pool;
    if (record.pool.empty()) {
      record.pool = row.pool;
    }
    if (record.team.empty()) {
      record.team = row.team;
    }
    if (record.team != row.team) {
      return Fail(ErrorCode::kInvalid, "jobs.submit", "",
                  "the project belongs to another team");
    }
  }
  if (!known) {
    return Fail(ErrorCode::kNotFound, "jobs.submit", "",
                "the configuration in force has no such project and pool");
  }
  const Result<StoredJob> submitted = parts_.jobs.Submit(record);
  if (submitted || submitted.error().code != ErrorCode::kConflict) {
    return RowOrError(submitted);
  }
  // The id exists: the same submission again has no further effect.
  const Result<StoredJob> existing = parts_.jobs.Read(job.project, job.id);
  if (existing && SameSubmission(existing->record, record)) {
    return RowOf(existing->record);
  }
  return RowOrError(submitted);
}

Result<std::vector<JobRow>> AdminService::Jobs(const AdminFilter& filter) {
  const Result<std::vector<StoredJob>> jobs = parts_.jobs.List();
  if (!jobs) {
    return tl::unexpected<Error>(jobs.error());
  }
  std::vector<JobRow> rows;
  for (const StoredJob& job : *jobs) {
    JobRow row = RowOf(job.record);
    if ((filter.project.empty() || filter.project == row.project) &&
        (filter.team.empty() || filter.team == row.team) &&
        (filter.pool.empty() || filter.pool == row.pool) &&
        (filter.state.empty() || filter.state == row.state)) {
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

Result<JobRow> AdminService::GetJob(const ProjectId& project, const JobId& id) {
  return RowOrError(parts_.jobs.Read(project, id));
}

Result<JobRow> AdminService::CancelJob(const ProjectId& project,
                                       const JobId& id) {
  return RowOrError(parts_.jobs.Cancel(project, id));
}

}  // namespace figflow
