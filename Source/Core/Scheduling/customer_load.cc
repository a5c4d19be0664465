#include "Scheduling/customer_load.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figflow {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

json FormatResources(const Resources& value) {
  return json::array(
      {value.cpu_millicores, value.memory_mb, value.accelerators});
}

constexpr int64_t kMaxTasks = 1'000'000;

// Bounds amounts of a peer, so that sums over all scopes do not overflow.
int64_t ReadAmount(const json& element) {
  return std::clamp<int64_t>(element.get<int64_t>(), 0, kUnlimitedAmount);
}

Resources ReadResources(const json& element) {
  return {ReadAmount(element.at(0)), ReadAmount(element.at(1)),
          ReadAmount(element.at(2))};
}

// 34 years, so that a time in nanoseconds does not overflow.
constexpr int64_t kMaxMilliseconds = int64_t{1} << 40;

milliseconds ReadTime(const json& element) {
  return milliseconds(
      std::clamp<int64_t>(element.get<int64_t>(), 0, kMaxMilliseconds));
}

}  // namespace

bool operator==(const GrantSequence& a, const GrantSequence& b) {
  return std::tie(a.controller_fence, a.number) ==
         std::tie(b.controller_fence, b.number);
}

bool operator<(const GrantSequence& a, const GrantSequence& b) {
  return std::tie(a.controller_fence, a.number) <
         std::tie(b.controller_fence, b.number);
}

json FormatCustomerLoadReport(const CustomerLoadReport& report) {
  if (!report.present) {
    return nullptr;
  }
  json rows = json::array();
  for (const CustomerLoad& load : report.customers) {
    rows.push_back(json::array(
        {load.customer, FormatResources(load.occupied),
         FormatResources(load.waiting), FormatResources(load.largest_unit),
         FormatResources(load.granted), load.tasks_over_grant}));
  }
  return json::array({report.owner_fence, report.made_at.count(),
                      report.controller_fence, report.held.controller_fence,
                      report.held.number, report.held_for.count(),
                      report.plan_version, std::move(rows)});
}

json FormatCustomerGrantOrders(const CustomerGrantOrders& orders) {
  if (!orders.present) {
    return nullptr;
  }
  json granted = json::array();
  for (const auto& [customer, grant] : orders.granted) {
    granted.push_back(json::array(
        {customer, FormatResources(grant.amount), FormatResources(grant.cap)}));
  }
  return json::array({orders.sequence.controller_fence, orders.sequence.number,
                      orders.plan_version, orders.owner_fence,
                      orders.report_made_at.count(), orders.duration.count(),
                      std::move(granted)});
}

CustomerLoadReport ReadCustomerLoadReport(const json& element) {
  CustomerLoadReport report;
  if (element.is_null()) {
    return report;
  }
  report.present = true;
  report.owner_fence = element.at(0).get<uint64_t>();
  report.made_at = ReadTime(element.at(1));
  report.controller_fence = element.at(2).get<uint64_t>();
  report.held = {element.at(3).get<uint64_t>(), element.at(4).get<uint64_t>()};
  report.held_for = ReadTime(element.at(5));
  report.plan_version = element.at(6).get<uint64_t>();
  for (const json& row : element.at(7)) {
    CustomerLoad load;
    load.customer = row.at(0).get<std::string>();
    load.occupied = ReadResources(row.at(1));
    load.waiting = ReadResources(row.at(2));
    load.largest_unit = ReadResources(row.at(3));
    load.granted = ReadResources(row.at(4));
    load.tasks_over_grant =
        static_cast<int>(std::min(ReadAmount(row.at(5)), kMaxTasks));
    report.customers.push_back(std::move(load));
  }
  return report;
}

CustomerGrantOrders ReadCustomerGrantOrders(const json& element) {
  CustomerGrantOrders orders;
  if (element.is_null()) {
    return orders;
  }
  orders.present = true;
  orders.sequence = {element.at(0).get<uint64_t>(),
                     element.at(1).get<uint64_t>()};
  orders.plan_version = element.at(2).get<uint64_t>();
  orders.owner_fence = element.at(3).get<uint64_t>();
  orders.report_made_at = ReadTime(element.at(4));
  orders.duration = ReadTime(element.at(5));
  for (const json& row : element.at(6)) {
    orders.granted[row.at(0).get<std::string>()] = {ReadResources(row.at(1)),
                                                    ReadResources(row.at(2))};
  }
  return orders;
}

}  // namespace figflow
