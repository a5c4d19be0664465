#ifndef STANDINS_FLEET_MODEL_NODE_H_
#define STANDINS_FLEET_MODEL_NODE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "StandIns/Fleet/virtual_time.h"

namespace figflow::model {

// One process of a daemon, and what keeps it from others. A killed process gets
// no more answers; a suspended one gets them when it goes on.
struct ModelNode {
  std::string name;
  std::string data_centre;
  bool alive = true;
  MonoTime suspended_until = MonoTime::min();
  // Cut off from the store, the workers, and the other daemons.
  bool store_cut = false;
  bool workers_cut = false;
  bool peers_cut = false;
  // Its calls reach the store, and the answers get lost.
  bool store_answers_lost = false;
  // Its watches of this prefix get no response; empty for none.
  std::string silent_prefix;
  // The store turns this daemon away.
  bool store_busy = false;
  // What its link carries in a second; 0 for no limit.
  size_t link_bytes_per_second = 0;
  // When the link has carried all answers of the store that are under way.
  MonoTime link_free_at = MonoTime::min();
  // Of all answers of the store.
  size_t received_bytes = 0;
  // Queries that the placement policy's service has not answered, and when it
  // will have handled all of them.
  int policy_queries = 0;
  MonoTime policy_free_at = MonoTime::min();
};

using NodePtr = std::shared_ptr<ModelNode>;

// Sends an answer over the node's link: the time until it has arrived whole.
inline VirtualTime::Duration SendOverLink(ModelNode& node,
                                          size_t bytes,
                                          VirtualTime::Duration latency,
                                          MonoTime now) {
  node.received_bytes += bytes;
  if (node.link_bytes_per_second == 0) {
    return latency;
  }
  const auto transfer = std::chrono::duration_cast<VirtualTime::Duration>(
      std::chrono::duration<double>(
          static_cast<double>(bytes) /
          static_cast<double>(node.link_bytes_per_second)));
  node.link_free_at = std::max(node.link_free_at, now + latency) + transfer;
  return node.link_free_at - now;
}

// Runs `event` in the process if it still lives then, after a suspension if it
// is suspended.
inline void RunIn(VirtualTime& time,
                  const NodePtr& node,
                  VirtualTime::Duration delay,
                  std::function<void()> event) {
  time.After(delay, [&time, node, event = std::move(event)] {
    if (!node->alive) {
      return;
    }
    if (node->suspended_until > time.Now()) {
      RunIn(time, node, node->suspended_until - time.Now(), event);
      return;
    }
    event();
  });
}

}  // namespace figflow::model

#endif  // STANDINS_FLEET_MODEL_NODE_H_
