#ifndef SCHEDULING_JOB_ACCESS_H_
#define SCHEDULING_JOB_ACCESS_H_

#include <string>

namespace figflow {

// A customer and a queue: those of a job, or of a call that names a job.
struct JobParty {
  // Empty for a job of no customer, and for a call without a key.
  std::string customer;
  std::string queue;
};

// Returns whether the call may see, cancel and resubmit the job. A call without
// a key sees the jobs of customers on its own queue only: its queue is open,
// others need not be.
inline bool MayAccessJob(const JobParty& call, const JobParty& job) {
  return job.customer.empty() ||
         (call.customer.empty() ? call.queue == job.queue
                                : call.customer == job.customer);
}

}  // namespace figflow

#endif  // SCHEDULING_JOB_ACCESS_H_
