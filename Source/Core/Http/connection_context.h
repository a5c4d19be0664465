#ifndef HTTP_CONNECTION_CONTEXT_H_
#define HTTP_CONNECTION_CONTEXT_H_

#include <cstdint>
#include <memory>

#include "Http/close_watcher.h"
#include "Http/connection_monitor.h"

namespace figflow {

// One connection of a server, in libmicrohttpd's socket context. Used on the
// thread of the connection.
struct ConnectionContext {
  int fd = -1;
  std::shared_ptr<WatchedConnection> watched;
  uint64_t watch_id = 0;
  // Null for a server without a budget.
  ConnectionMonitor* monitor = nullptr;
  ConnectionMonitor::Id budget_id = 0;

  bool Enter(ByteBudget::Phase phase) const {
    return monitor == nullptr || monitor->Enter(budget_id, phase);
  }
  void Progress() const {
    if (monitor != nullptr) {
      monitor->Progress(budget_id);
    }
  }
  bool ReserveOrPause(size_t bytes) const {
    return monitor == nullptr || monitor->ReserveOrPause(budget_id, bytes);
  }
  void Charge(size_t bytes) const {
    if (monitor != nullptr) {
      monitor->Charge(budget_id, bytes);
    }
  }
  void Release() const {
    if (monitor != nullptr) {
      monitor->Release(budget_id);
    }
  }
};

}  // namespace figflow

#endif  // HTTP_CONNECTION_CONTEXT_H_
