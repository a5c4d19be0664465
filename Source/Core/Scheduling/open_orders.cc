#include "Scheduling/open_orders.h"

#include <algorithm>
#include <iterator>

namespace figflow {
namespace {

// The platform states no limit; late orders are carried out within 12 s.
constexpr std::chrono::seconds kRetention{30};

}  // namespace

void OpenOrders::Add(const std::string& worker,
                     const TaskName& task,
                     uint32_t run,
                     MonoTime now) {
  RemoveExpired(now);
  std::vector<Order>& orders = orders_[worker];
  const auto known =
      std::find_if(orders.begin(), orders.end(), [&](const Order& order) {
        return order.task == task && order.run == run;
      });
  if (known != orders.end()) {
    known->unanswered_at = now;
    return;
  }
  orders.push_back({task, run, now});
}

std::vector<OpenOrders::Order> OpenOrders::OrdersTo(const std::string& worker,
                                                    MonoTime now) {
  RemoveExpired(now);
  const auto known = orders_.find(worker);
  return known == orders_.end() ? std::vector<Order>() : known->second;
}

void OpenOrders::RemoveExpired(MonoTime now) {
  for (auto it = orders_.begin(); it != orders_.end();) {
    std::vector<Order>& orders = it->second;
    orders.erase(std::remove_if(orders.begin(), orders.end(),
                                [&](const Order& order) {
                                  return now - order.unanswered_at > kRetention;
                                }),
                 orders.end());
    it = orders.empty() ? orders_.erase(it) : std::next(it);
  }
}

}  // namespace figflow
