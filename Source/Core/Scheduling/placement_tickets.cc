#include "Scheduling/placement_tickets.h"

namespace figflow {
namespace {

// Time from the choice of a worker to the arrival of the order: a durable write
// and an HTTP request.
constexpr std::chrono::milliseconds kTicketUseMargin{250};

}  // namespace

void PlacementTickets::OnAnswer(const std::set<WorkerKey>& workers,
                                const PolicyResponse& answer,
                                MonoTime issued_at) {
  std::map<std::string, std::string> allowed;
  for (const PolicyTicket& ticket : answer.allowed) {
    allowed[ticket.worker] = ticket.ticket;
  }
  for (const WorkerKey& worker : workers) {
    const auto ticket = allowed.find(worker.id);
    if (ticket == allowed.end()) {
      forbidden_.insert(worker);
    } else {
      tickets_[worker] = {ticket->second, issued_at + answer.lifetime};
    }
  }
}

void PlacementTickets::OnTicketRefused(const WorkerKey& worker) {
  tickets_.erase(worker);
  required_ = true;
}

std::string PlacementTickets::TicketFor(const WorkerKey& worker,
                                        MonoTime now) const {
  const auto entry = tickets_.find(worker);
  return entry == tickets_.end() ||
                 entry->second.expires < now + kTicketUseMargin
             ? std::string()
             : entry->second.ticket;
}

bool PlacementTickets::IsForbidden(const WorkerKey& worker) const {
  return forbidden_.count(worker) > 0;
}

}  // namespace figflow
