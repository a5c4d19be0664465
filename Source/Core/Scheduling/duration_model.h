#ifndef SCHEDULING_DURATION_MODEL_H_
#define SCHEDULING_DURATION_MODEL_H_

#include <chrono>

namespace figflow {

// Predicts how long the tasks of one queue take, from their submitters' guesses
// and from what earlier tasks took.
//
// Submitters' guesses are anything from good to useless, and differ by queue.
// The logarithm of the duration is predicted by a line through the logarithms
// of the guesses: a queue with useless guesses gets its mean, one with good
// guesses keeps them.
class DurationModel {
 public:
  // A run of a task with this estimate ended as done after `actual`.
  void Learn(std::chrono::milliseconds estimate,
             std::chrono::milliseconds actual);

  std::chrono::milliseconds Predict(std::chrono::milliseconds estimate) const;

 private:
  // Weighted sums over the runs learned from, older ones counting less.
  double weight_ = 0;
  double x_ = 0;
  double y_ = 0;
  double xx_ = 0;
  double xy_ = 0;
};

}  // namespace figflow

#endif  // SCHEDULING_DURATION_MODEL_H_
