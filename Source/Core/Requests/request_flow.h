#ifndef REQUESTS_REQUEST_FLOW_H_
#define REQUESTS_REQUEST_FLOW_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/clock.h"
#include "Common/metrics.h"
#include "Common/strong_id.h"
#include "Http/figflow_response.h"
#include "Http/http_message.h"
#include "Http/http_transport.h"
#include "Idempotency/run_once.h"
#include "Peer/peer_service.h"
#include "Requests/answer_cache.h"
#include "Requests/attempt_decision.h"
#include "Requests/peer_choice.h"
#include "Routing/dispatcher.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

class RequestFlow;

// What all requests of a daemon share.
struct FlowContext {
  FlowContext(const Clock& clock,
              Dispatcher& dispatcher,
              HttpTransport& transport,
              PeerService& peers,
              TicketBook& tickets,
              ClaimRegistry& claims,
              MetricsRegistry& metrics,
              size_t max_cached_bytes);

  const Clock& clock;
  Dispatcher& dispatcher;
  HttpTransport& transport;
  PeerService& peers;
  TicketBook& tickets;
  ClaimRegistry& claims;

  DataCentreId data_centre;
  size_t max_answer_bytes = 0;
  size_t max_relay_bytes = 0;
  int max_attempts = 0;
  int max_relays = 0;
  AnswerCache answers;
  std::atomic<uint64_t> next_item{1};

  Counter& attempts;
  Counter& retries;
  Counter& relays;
  Counter& delivered;
  Counter& not_run;
  Counter& unknown;
  Counter& cancelled;
  LatencyHistogram& duration;

  absl::Mutex relay_mutex;
  OpenRelays open_relays ABSL_GUARDED_BY(relay_mutex);
};

// The end of a request.
struct FlowResult {
  HttpResponse response;
  // Made by figflow; `disposition` is set.
  bool own = false;
  Disposition disposition = Disposition::kUnknown;
};

struct FlowRequest {
  ProjectId project;
  PoolId pool;
  // With the target as the pool's targets get it, without hop-by-hop fields.
  std::shared_ptr<const HttpRequest> message;
  MonoTime received_at;
  MonoTime deadline;
  std::string idempotency_key;
  // The sender of a relayed request has redeemed or claimed the key.
  bool authorised = false;
  bool unrepeatable = false;
  // Relays so far.
  int hops = 0;
};

// One request from admission to its response: redeems or claims its key, waits
// for a permit, makes attempts here or by relay, and answers exactly once.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  using DoneCallback = std::function<void(FlowResult)>;
  // Gets null if the request got a target's response.
  using CancelWaiter = std::function<void(const Disposition*)>;

  // `done` is called once, from any thread, without locks held.
  RequestFlow(FlowContext& context, FlowRequest request, DoneCallback done);

  void Begin();
  // Stops the request at its next step and ends a wait or an attempt. `reason`
  // names the cause in the response.
  void Cancel(absl::string_view reason);
  // Calls `waiter` when the request has ended.
  void WaitForEnd(CancelWaiter waiter);
  // Answers at once with what is known, for a stop whose time has run out.
  void Abandon();

 private:
  enum class Phase { kNew, kClaiming, kQueued, kSending, kRelaying, kDone };

  // Begins the next phase unless the request was cancelled or has ended;
  // returns the number of the phase, or 0.
  uint64_t Enter(Phase phase);
  // Notes the handle that Cancel needs, if phase number `step` still lasts.
  void KeepHandle(uint64_t step, uint64_t handle);
  void CancelHandle(Phase phase, uint64_t handle);

  void OnClaim(Result<ClaimVerdict> claim);
  void AnswerAlreadyClaimed();
  void OnTicket(const TicketCheck& check);

  void Submit();
  void OnPermit(tl::expected<Permit, Refusal> granted);
  void OnTransfer(const Permit& permit, TransferResult result);
  void OnFailedAttempt(const Error& error, bool sent_now);

  // Relays to a peer with free slots; without one, answers with `refusal`.
  void RelayOrAnswer(FlowResult refusal);
  void Relay(const EntryId& peer, FlowResult refusal);
  void OnRelayAnswer(const EntryId& peer,
                     FlowResult refusal,
                     Result<RelayResponse> answer);
  bool to_issuer() const { return !issuer_.empty(); }

  FlowResult MakeOwn(int status,
                     absl::string_view reason,
                     absl::string_view step,
                     absl::string_view peer,
                     absl::string_view message) const;
  FlowResult MakeFailure(const Error& error) const;
  void Deliver(HttpResponse response);
  void AnswerCancelled();
  void Finish(FlowResult result);

  FlowContext& context_;
  const FlowRequest request_;
  DoneCallback done_;

  // Changed by one step at a time; the steps follow each other.
  int attempts_ = 0;
  int relays_ = 0;
  bool own_key_claimed_ = false;
  bool authorised_ = false;
  EntryId issuer_;
  std::vector<EntryId> tried_peers_;
  // Some attempt may have sent the request.
  std::atomic<bool> sent_{false};

  absl::Mutex mutex_;
  Phase phase_ ABSL_GUARDED_BY(mutex_) = Phase::kNew;
  uint64_t step_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t handle_ ABSL_GUARDED_BY(mutex_) = 0;
  bool cancelled_ ABSL_GUARDED_BY(mutex_) = false;
  std::string cancel_reason_ ABSL_GUARDED_BY(mutex_);
  std::vector<CancelWaiter> waiters_ ABSL_GUARDED_BY(mutex_);
  bool ended_own_ ABSL_GUARDED_BY(mutex_) = false;
  Disposition ended_disposition_ ABSL_GUARDED_BY(mutex_) =
      Disposition::kUnknown;
};

}  // namespace figflow

#endif  // REQUESTS_REQUEST_FLOW_H_
