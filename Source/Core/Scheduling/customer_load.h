#ifndef SCHEDULING_CUSTOMER_LOAD_H_
#define SCHEDULING_CUSTOMER_LOAD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Common/json.h"
#include "Scheduling/job_spec.h"

namespace figflow {

// Amount of a resource that a grant does not limit.
inline constexpr int64_t kUnlimitedAmount = int64_t{1} << 50;

// Load of one customer in one scope, as the scope's owner sees it.
struct CustomerLoad {
  std::string customer;
  Resources occupied;
  // Request of the tasks that could start now if there were free capacity.
  Resources waiting;
  // Request of the largest unit among them that starts as a whole: a task, or
  // all tasks of a gang.
  Resources largest_unit;
  // What the owner's unexpired grant allows.
  Resources granted;
  // Number of the waiting tasks that do not fit the grant.
  int tasks_over_grant = 0;
};

// Identifies one order with grants. Later orders compare greater: a controller
// numbers its orders, and each controller has a higher fence than earlier ones.
struct GrantSequence {
  uint64_t controller_fence = 0;
  uint64_t number = 0;
};

bool operator==(const GrantSequence& a, const GrantSequence& b);
bool operator<(const GrantSequence& a, const GrantSequence& b);

// Part of a PoolReport about customers with a cap.
struct CustomerLoadReport {
  // False if the controller sent no CustomerGrantOrders.
  bool present = false;
  // Fence of the owner, and the time of the report on the owner's clock.
  uint64_t owner_fence = 0;
  std::chrono::milliseconds made_at{0};
  // The plan by which the owner limits customers.
  uint64_t plan_version = 0;
  // Highest fence of a controller that this owner has had orders from.
  uint64_t controller_fence = 0;
  // The grants that the owner holds, and the time until they expire.
  GrantSequence held;
  std::chrono::milliseconds held_for{0};
  std::vector<CustomerLoad> customers;
};

struct CustomerGrant {
  Resources amount;
  // The cap that the sum of the grants goes by.
  Resources cap;
};

// Part of WorkerOrders about customers with a cap. The grants replace all
// earlier ones of the scope: a customer without an entry is granted nothing.
struct CustomerGrantOrders {
  // False if the plan has no customer with a cap.
  bool present = false;
  GrantSequence sequence;
  // The plan that the grants go by.
  uint64_t plan_version = 0;
  // The report that the grants are based on; fence 0 if the order only
  // announces the controller and grants and withdraws nothing.
  uint64_t owner_fence = 0;
  std::chrono::milliseconds report_made_at{0};
  // Time from the making of that report until the grants expire.
  std::chrono::milliseconds duration{0};
  std::map<std::string, CustomerGrant> granted;
};

// The elements that reports and orders carry; null if not `present`.
nlohmann::json FormatCustomerLoadReport(const CustomerLoadReport& report);
nlohmann::json FormatCustomerGrantOrders(const CustomerGrantOrders& orders);
// These throw an exception of the library if the element is malformed.
CustomerLoadReport ReadCustomerLoadReport(const nlohmann::json& element);
CustomerGrantOrders ReadCustomerGrantOrders(const nlohmann::json& element);

}  // namespace figflow

#endif  // SCHEDULING_CUSTOMER_LOAD_H_
