#ifndef MAINTENANCE_MAINTENANCE_LEASE_H_
#define MAINTENANCE_MAINTENANCE_LEASE_H_

#include <chrono>
#include <string>

#include "Common/error.h"
#include "Platform/key_value_store.h"

namespace figflow {

// A lease on a key that lets one daemon at a time do a piece of work. It only
// avoids duplicate work: a holder that was paused may wake after the lease
// lapsed. Not thread-safe.
class MaintenanceLease {
 public:
  MaintenanceLease(KeyValueStore& store,
                   std::string key,
                   std::string holder,
                   std::chrono::milliseconds ttl,
                   std::chrono::milliseconds timeout);

  // Renews the lease, or takes it if nobody holds it. Returns whether it is
  // held now.
  Result<bool> Hold();

  // Lets the lease lapse without further calls.
  void Abandon() { lease_ = 0; }

 private:
  KeyValueStore& store_;
  const std::string key_;
  const std::string holder_;
  const std::chrono::milliseconds ttl_;
  const std::chrono::milliseconds timeout_;
  LeaseId lease_ = 0;
};

}  // namespace figflow

#endif  // MAINTENANCE_MAINTENANCE_LEASE_H_
