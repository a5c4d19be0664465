#include "Scheduling/customer_usage.h"

namespace figflow {

void CustomerUsage::Add(const std::string& customer, const Resources& size) {
  if (!customer.empty() && !(size == Resources())) {
    occupied_[customer] += size;
  }
}

void CustomerUsage::Remove(const std::string& customer, const Resources& size) {
  const auto entry = occupied_.find(customer);
  if (entry == occupied_.end()) {
    return;
  }
  entry->second -= size;
  if (entry->second == Resources()) {
    occupied_.erase(entry);
  }
}

Resources CustomerUsage::Of(const std::string& customer) const {
  const auto entry = occupied_.find(customer);
  return entry == occupied_.end() ? Resources() : entry->second;
}

}  // namespace figflow
