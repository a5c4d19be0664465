#ifndef SCHEDULING_STAGE_ADVICE_H_
#define SCHEDULING_STAGE_ADVICE_H_

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Scheduling/worker.h"

namespace figflow {

// A worker that may run a stage, with the ticket that a start carries.
struct PolicyTicket {
  std::string worker;
  std::string ticket;
};

struct PolicyAnswer {
  std::vector<PolicyTicket> allowed;
  // How long the tickets are valid.
  std::chrono::milliseconds lifetime{0};
};

// What is known of the workers that may run one stage of a queue with a
// placement policy. Which workers may does not change; the tickets expire.
class StageAdvice {
 public:
  // The policy service answered a question about these workers, asked at
  // `asked_at`.
  void OnAnswer(const std::set<WorkerKey>& workers,
                const PolicyAnswer& answer,
                MonoTime asked_at);
  // A worker has refused the ticket.
  void OnTicketRefused(const WorkerKey& worker);

  // The ticket for a start that is sent soon after `now`; empty if there is
  // none.
  std::string TicketFor(const WorkerKey& worker, MonoTime now) const;
  // The worker is known not to be allowed.
  bool Forbidden(const WorkerKey& worker) const;

  // A question is under way.
  bool asking = false;
  // No question before this time.
  MonoTime next_question;

 private:
  struct Entry {
    std::string ticket;
    MonoTime expires;
  };
  std::map<WorkerKey, Entry> tickets_;
  std::set<WorkerKey> forbidden_;
};

}  // namespace figflow

#endif  // SCHEDULING_STAGE_ADVICE_H_
