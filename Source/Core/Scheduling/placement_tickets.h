#ifndef SCHEDULING_PLACEMENT_TICKETS_H_
#define SCHEDULING_PLACEMENT_TICKETS_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/worker.h"

namespace figflow {

// A worker that may run a stage, and the ticket that a start order carries.
struct PolicyTicket {
  std::string worker;
  std::string ticket;
};

struct PolicyResponse {
  std::vector<PolicyTicket> allowed;
  // Validity of the tickets, counted from when the service handled the query.
  std::chrono::milliseconds lifetime{0};
};

// Tickets of the workers that may run one stage of a queue with a placement
// policy. The set of allowed workers does not change; the tickets expire.
class PlacementTickets {
 public:
  // Handles the response to a query about these workers. The tickets are valid
  // from `issued_at`.
  void OnAnswer(const std::set<WorkerKey>& workers,
                const PolicyResponse& answer,
                MonoTime issued_at);
  // Handles the refusal of a ticket by its worker.
  void OnTicketRefused(const WorkerKey& worker);

  // Returns the ticket for a start order that is sent soon after `now`; empty
  // if there is none.
  std::string TicketFor(const WorkerKey& worker, MonoTime now) const;
  // Returns whether a worker has refused a start for want of a ticket: the
  // stage has a policy, although its queue may have been removed.
  bool required() const { return required_; }
  // Returns whether the policy service does not allow the worker.
  bool IsForbidden(const WorkerKey& worker) const;

  // Earliest time of the next query.
  MonoTime next_query;

 private:
  struct Entry {
    std::string ticket;
    MonoTime expires;
  };
  std::map<WorkerKey, Entry> tickets_;
  std::set<WorkerKey> forbidden_;
  bool required_ = false;
};

}  // namespace figflow

#endif  // SCHEDULING_PLACEMENT_TICKETS_H_
