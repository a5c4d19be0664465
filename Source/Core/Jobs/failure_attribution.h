#ifndef JOBS_FAILURE_ATTRIBUTION_H_
#define JOBS_FAILURE_ATTRIBUTION_H_

#include <set>
#include <vector>

#include "Common/strong_id.h"
#include "Jobs/job_record.h"

namespace figflow {

// The end of one run of a job on a worker.
struct RunEnd {
  JobId job;
  InstanceId worker;
  bool failed = false;
};

// The ends of runs that the records tell of.
std::vector<RunEnd> RunEndsOf(const JobRecord& record);

// Workers on which at least 3 distinct jobs failed that failed nowhere else.
std::set<InstanceId> BadWorkers(const std::vector<RunEnd>& ends);

// Jobs that failed on at least 3 distinct workers each of which finished
// another job and is not a bad worker. A worker without a finished job proves
// nothing: a failing rack would otherwise condemn good jobs.
std::set<JobId> BadJobs(const std::vector<RunEnd>& ends);

}  // namespace figflow

#endif  // JOBS_FAILURE_ATTRIBUTION_H_
