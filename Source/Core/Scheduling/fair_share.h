#ifndef SCHEDULING_FAIR_SHARE_H_
#define SCHEDULING_FAIR_SHARE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Scheduling/dispatch_order.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/job_spec.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace figflow {

// A stage that is ready, as the fair order sees it.
struct WaitingStage {
  DispatchRank rank;
  // Empty for a job without a customer.
  absl::string_view customer;
  // Requested by the stage's waiting tasks together.
  Resources demand;
};

// Returns the mean of the customers' positive weights, or 1 without any.
double AverageWeight(const std::vector<CustomerConfig>& customers);

// Yields ready stages in the sequence in which they are planned. Urgency
// classes and priorities stay as DispatchSequence orders them. Among stages
// that are equal in these, the customer with the least dominant share over its
// weight goes first (dominant resource fairness: Ghodsi et al., NSDI 2011). Its
// share is what it occupies plus the demand of its stages yielded so far. A
// customer's own stages stay in the order of their ranks.
//
// Stages without a customer compete as one customer of average weight, and so
// does each customer that the plan gives no weight. If the plan has no
// customers the sequence is that of DispatchSequence.
class FairSequence {
 public:
  struct Scope {
    // Of the scope's workers together.
    Resources capacity;
    // Occupied by each customer, and by jobs without a customer under the empty
    // name.
    std::map<std::string, Resources> occupied;
    const std::vector<CustomerConfig>& customers;
  };

  // The names of customers in `stages` must outlive the sequence.
  FairSequence(std::vector<WaitingStage> stages, const Scope& scope);

  // Returns the index of the next stage, or none at the end.
  std::optional<size_t> Next();
  // Does not count the last stage towards its customer's share. Used for stages
  // that cannot start whatever is free: their customer's other stages would
  // otherwise wait behind those of customers that occupy more.
  void DiscountLast() { last_.reset(); }

 private:
  struct Customer {
    Resources occupied;
    double weight = 1;
    // Dominant share of `occupied` over `weight`.
    double share = 0;
    // Number of stages that `share` includes beside what was occupied before.
    int grants = 0;
  };
  // Stages of one customer in a group, in the order of their ranks.
  struct Line {
    size_t customer = 0;
    std::vector<size_t> stages;
    size_t next = 0;
  };
  // Entry of a heap for a line.
  struct Entry {
    double key = 0;
    // Place of the line's next stage in `sorted_`.
    size_t place = 0;
    size_t line = 0;
    // The customer's grants when the key was computed.
    int grants = 0;

    friend bool operator>(const Entry& a, const Entry& b) {
      return std::tie(a.key, a.place) > std::tie(b.key, b.place);
    }
  };
  // Part of `sorted_`, yielded group by group: a group has one urgency class
  // and priority.
  struct Stream {
    size_t begin = 0;
    size_t end = 0;
    std::vector<Line> lines;
    // The least entry is at the front.
    std::vector<Entry> heap;

    bool done() const { return begin == end && heap.empty(); }
  };

  // Fills `customers_` and `customer_of_`.
  void AddCustomers(const Scope& scope);
  void SplitIntoStreams();
  size_t TakeFrom(Stream& stream);
  void LoadGroup(Stream& stream);
  void Push(Stream& stream, size_t line) const;
  void CountLast();

  const std::vector<WaitingStage> stages_;
  Resources capacity_;
  // False if the plan has no customers.
  bool fair_ = false;
  std::vector<Customer> customers_;
  // Index in `customers_` of each stage's customer.
  std::vector<size_t> customer_of_;
  // Indices of the stages in the order of their ranks. The sequence itself if
  // the plan has no customers.
  std::vector<size_t> sorted_;
  // Place of each stage in `sorted_`.
  std::vector<size_t> place_of_;
  Stream first_;
  Stream in_time_;
  Stream last_chance_;
  Stream rest_;
  int taken_ = 0;
  size_t next_unfair_ = 0;
  // Stage that was yielded last and is not in its customer's share yet.
  std::optional<size_t> last_;
};

}  // namespace figflow

#endif  // SCHEDULING_FAIR_SHARE_H_
