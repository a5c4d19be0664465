#ifndef SCHEDULING_DURATION_MODEL_H_
#define SCHEDULING_DURATION_MODEL_H_

#include <chrono>

namespace figflow {

// Predicts the duration of a queue's tasks from the submitters' estimates and
// the durations of earlier tasks.
//
// The accuracy of estimates ranges from good to useless and differs by queue.
// The logarithm of the duration is predicted by linear regression on the
// logarithm of the estimate: a queue with useless estimates gets its mean
// duration, one with good estimates keeps them.
class DurationModel {
 public:
  // Records that a run of a task with this estimate was done after `actual`.
  void RecordDuration(std::chrono::milliseconds estimate,
                      std::chrono::milliseconds actual);

  std::chrono::milliseconds Predict(std::chrono::milliseconds estimate) const;

 private:
  // Weighted sums over the recorded runs, with x the logarithm of the estimate
  // and y that of the duration. Older runs have less weight.
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
};

}  // namespace figflow

#endif  // SCHEDULING_DURATION_MODEL_H_
