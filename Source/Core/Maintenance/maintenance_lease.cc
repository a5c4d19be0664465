#include "Maintenance/maintenance_lease.h"

#include <utility>

namespace figflow {

MaintenanceLease::MaintenanceLease(KeyValueStore& store,
                                   std::string key,
                                   std::string holder,
                                   std::chrono::milliseconds ttl,
                                   std::chrono::milliseconds timeout)
    : store_(store),
      key_(std::move(key)),
      holder_(std::move(holder)),
      ttl_(ttl),
      timeout_(timeout) {}

Result<bool> MaintenanceLease::Hold() {
  if (lease_ != 0) {
    const Result<void> renewed = store_.KeepLeaseAlive(lease_, timeout_);
    if (renewed) {
      return true;
    }
    if (renewed.error().code != ErrorCode::kNotFound) {
      return tl::unexpected<Error>(renewed.error());
    }
    lease_ = 0;
    // Another daemon may hold it by now; the next call finds out.
    return false;
  }
  const Result<std::optional<VersionedValue>> stored =
      store_.Get(key_, timeout_);
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  if (*stored) {
    return false;
  }
  const Result<LeaseId> granted = store_.GrantLease(ttl_, timeout_);
  if (!granted) {
    return tl::unexpected<Error>(granted.error());
  }
  const Result<uint64_t> written =
      store_.CompareAndSwap(key_, 0, holder_, timeout_, *granted);
  if (!written) {
    // After a lost answer the key may be this daemon's; it lapses unrenewed.
    if (written.error().code == ErrorCode::kConflict) {
      return false;
    }
    return tl::unexpected<Error>(written.error());
  }
  lease_ = *granted;
  return true;
}

}  // namespace figflow
