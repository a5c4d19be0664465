#include "Jobs/failure_attribution.h"

#include <algorithm>
#include <map>

namespace figflow {
namespace {

// With fewer, one flaky job or worker would decide about the other.
constexpr size_t kDistinct = 3;

}  // namespace

std::vector<RunEnd> RunEndsOf(const JobRecord& record) {
  std::vector<RunEnd> ends;
  for (const JobFailure& failure : record.failures) {
    ends.push_back(RunEnd{record.id, failure.worker, true});
  }
  if (record.state == JobState::kFinished) {
    ends.push_back(RunEnd{record.id, record.worker, false});
  }
  return ends;
}

std::set<InstanceId> BadWorkers(const std::vector<RunEnd>& ends) {
  std::map<JobId, std::set<InstanceId>> failed_on;
  for (const RunEnd& end : ends) {
    if (end.failed) {
      failed_on[end.job].insert(end.worker);
    }
  }
  std::map<InstanceId, size_t> blamed;
  for (const auto& [job, workers] : failed_on) {
    if (workers.size() == 1) {
      ++blamed[*workers.begin()];
    }
  }
  std::set<InstanceId> bad;
  for (const auto& [worker, jobs] : blamed) {
    if (jobs >= kDistinct) {
      bad.insert(worker);
    }
  }
  return bad;
}

std::set<JobId> BadJobs(const std::vector<RunEnd>& ends) {
  const std::set<InstanceId> bad_workers = BadWorkers(ends);
  std::map<InstanceId, std::set<JobId>> finished;
  std::map<JobId, std::set<InstanceId>> failed_on;
  for (const RunEnd& end : ends) {
    if (end.failed) {
      failed_on[end.job].insert(end.worker);
    } else {
      finished[end.worker].insert(end.job);
    }
  }
  std::set<JobId> bad;
  for (const auto& entry : failed_on) {
    const JobId& job = entry.first;
    const auto proves = [&](const InstanceId& worker) {
      const auto it = finished.find(worker);
      return bad_workers.count(worker) == 0 && it != finished.end() &&
             it->second.size() > it->second.count(job);
    };
    const auto& workers = entry.second;
    if (std::count_if(workers.begin(), workers.end(), proves) >=
        static_cast<std::ptrdiff_t>(kDistinct)) {
      bad.insert(job);
    }
  }
  return bad;
}

}  // namespace figflow
