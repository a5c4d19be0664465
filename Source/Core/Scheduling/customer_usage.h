#ifndef SCHEDULING_CUSTOMER_USAGE_H_
#define SCHEDULING_CUSTOMER_USAGE_H_

#include <map>
#include <string>

#include "Scheduling/job_spec.h"

namespace figflow {

// What each customer occupies on the workers of a pool: tasks that are planned,
// starting, running or being stopped. Jobs without a customer are not counted.
class CustomerUsage {
 public:
  void Add(const std::string& customer, const Resources& size);
  void Remove(const std::string& customer, const Resources& size);

  Resources Of(const std::string& customer) const;
  // Contains only customers that occupy something.
  const std::map<std::string, Resources>& all() const { return occupied_; }

 private:
  std::map<std::string, Resources> occupied_;
};

}  // namespace figflow

#endif  // SCHEDULING_CUSTOMER_USAGE_H_
