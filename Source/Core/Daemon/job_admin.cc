#include "Daemon/admin_service.h"

namespace figflow {
namespace {

tl::unexpected<Error> NoJobs(const char* step) {
  return Fail(ErrorCode::kUnavailable, step, "",
              "this daemon places no jobs yet; nothing was changed");
}

}  // namespace

Result<JobRow> AdminService::SubmitJob(const JobSubmission& /*job*/) {
  return NoJobs("jobs.submit");
}

Result<std::vector<JobRow>> AdminService::Jobs(const AdminFilter& /*filter*/) {
  return NoJobs("jobs.list");
}

Result<JobRow> AdminService::GetJob(const ProjectId& /*project*/,
                                    const JobId& /*id*/) {
  return NoJobs("jobs.get");
}

Result<JobRow> AdminService::CancelJob(const ProjectId& /*project*/,
                                       const JobId& /*id*/) {
  return NoJobs("jobs.cancel");
}

}  // namespace figflow
