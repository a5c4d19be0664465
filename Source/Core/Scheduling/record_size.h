#ifndef SCHEDULING_RECORD_SIZE_H_
#define SCHEDULING_RECORD_SIZE_H_

#include <cstddef>

#include "Scheduling/job.h"

namespace figflow {

// Returns an upper estimate of the bytes of the job's next record in the store,
// with what the tasks that have begun may still add.
size_t EstimateRecordSize(const Job& job);

// Returns how many tasks of a stage that have not begun yet may begin, so that
// the record stays within `max_bytes`.
int CountTasksThatFitRecord(const Job& job,
                            const StageSpec& spec,
                            size_t max_bytes);

// Returns whether each gang of the job fits into a record, whatever else the
// job has done. Other tasks begin in parts that fit.
bool MayFitRecord(const JobSpec& spec, size_t max_bytes);

// Returns the longest checkpoint that each task of the job may have.
size_t LongestCheckpoint(const Job& job, size_t max_bytes);

}  // namespace figflow

#endif  // SCHEDULING_RECORD_SIZE_H_
