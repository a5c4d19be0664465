#ifndef UNITTESTS_REQUESTS_FAKES_H_
#define UNITTESTS_REQUESTS_FAKES_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Http/http_exchange.h"
#include "Http/http_headers.h"
#include "Http/http_transport.h"
#include "Idempotency/run_once.h"
#include "Peer/peer_service.h"
#include "Requests/project_directory.h"
#include "Routing/dispatcher.h"

namespace figflow {

// Each fake does the next step of its script, and its default without one.
template <typename Step>
Step NextOf(std::deque<Step>& script, Step otherwise) {
  if (script.empty()) {
    return otherwise;
  }
  Step step = std::move(script.front());
  script.pop_front();
  return step;
}

class FakeDispatcher : public Dispatcher {
 public:
  enum class Step { kPermit, kRefuse, kHold };
  std::deque<std::pair<Step, Refusal>> script;
  int retry_tokens = 0;
  std::map<uint64_t, PermitCallback> held;
  std::vector<AttemptReport> reports;
  std::vector<WorkItem> items;

  void Submit(const WorkItem& item, MonoTime, PermitCallback done) override {
    items.push_back(item);
    const auto [step, refusal] = NextOf(script, {Step::kPermit, {}});
    if (step == Step::kHold) {
      held[item.id] = std::move(done);
    } else if (step == Step::kRefuse) {
      done(tl::unexpected<Refusal>(refusal));
    } else {
      done(Permit{item.id, item.pool, InstanceId("i1"), "10.0.0.1:80", 1});
    }
  }
  bool Cancel(const PoolId&, uint64_t item) override {
    auto it = held.find(item);
    if (it == held.end()) {
      return false;
    }
    PermitCallback done = std::move(it->second);
    held.erase(it);
    done(tl::unexpected<Refusal>(Refusal::kCancelled));
    return true;
  }
  void Finish(const Permit&, const AttemptReport& report, MonoTime) override {
    reports.push_back(report);
  }
  bool TakeRetryToken(const PoolId&, MonoTime) override {
    return retry_tokens-- > 0;
  }
  void UpdateTable(const RoutingTable&, MonoTime) override {}
  void MarkLeaving(const LeavingTarget&, MonoTime) override {}
  std::vector<LeavingTarget> RecentLeavingTargets(MonoTime) const override {
    return {};
  }
  int InFlight(const PoolId&, const InstanceId&) const override { return 0; }
  std::vector<std::pair<PoolId, int>> FreeSlots() const override { return {}; }
  void Tick(MonoTime) override {}
  void Stop(MonoTime) override {}
};

class FakeTransport : public HttpTransport {
 public:
  enum class Step { kAnswer, kFail, kHold };
  struct Plan {
    Step step = Step::kAnswer;
    bool sent = true;
    ErrorCode code = ErrorCode::kUnknownOutcome;
  };
  std::deque<Plan> script;
  HttpResponse answer{200, {}, "whole"};
  std::vector<TransferRequest> requests;
  std::map<uint64_t, std::pair<Plan, TransferCallback>> held;
  bool ignore_cancel = false;

  uint64_t Start(TransferRequest request, TransferCallback done) override {
    requests.push_back(std::move(request));
    const uint64_t id = requests.size();
    const Plan plan = NextOf(script, Plan());
    if (plan.step == Step::kHold) {
      held[id] = {plan, std::move(done)};
    } else if (plan.step == Step::kFail) {
      done(
          {plan.sent, {}, Fail(plan.code, "http.transfer", "10.0.0.1:80", "")});
    } else {
      done({true, std::chrono::milliseconds(1), answer});
    }
    return id;
  }
  void Cancel(uint64_t id) override {
    auto it = held.find(id);
    if (it != held.end() && !ignore_cancel) {
      auto [plan, done] = std::move(it->second);
      held.erase(it);
      done({plan.sent,
            {},
            Fail(ErrorCode::kCancelled, "http.transfer", "", "")});
    }
  }
  void CancelIfSilent(uint64_t id) override { Cancel(id); }
};

class FakePeers : public PeerService {
 public:
  // not_run, unknown: made by the peer's figflow; answer: by its target.
  enum class Step { kAnswer, kNotRun, kUnknown, kNotSent, kLost, kHold };
  std::deque<Step> script;
  std::map<EntryId, PeerView> peers;
  std::vector<std::pair<EntryId, RelayRequest>> relays;
  std::vector<uint64_t> cancelled;

  void AddPeer(const std::string& id, int slots, bool suspect = false) {
    PeerView view;
    view.digest.entry = EntryId(id);
    view.digest.free_slots = {{PoolId("pool"), slots}};
    view.suspect = suspect;
    peers[EntryId(id)] = view;
  }
  uint64_t Relay(const EntryId& to,
                 RelayRequest request,
                 RelayCallback done) override {
    relays.emplace_back(to, std::move(request));
    const auto own = [](const char* disposition) {
      return HttpHeaders{{"Figflow-Disposition", disposition}};
    };
    switch (NextOf(script, Step::kAnswer)) {
      case Step::kAnswer:
        done(RelayResponse{201, {}, "from peer", false});
        break;
      case Step::kNotRun:
        done(RelayResponse{503, own("not-run"), "", true});
        break;
      case Step::kUnknown:
        done(RelayResponse{502, own("unknown"), "", false});
        break;
      case Step::kNotSent:
        done(Fail(ErrorCode::kUnavailable, "peer.relay", to.value(), ""));
        break;
      case Step::kLost:
        done(Fail(ErrorCode::kUnknownOutcome, "peer.relay", to.value(), ""));
        break;
      case Step::kHold:
        held = std::move(done);
        break;
    }
    return relays.size();
  }
  void CancelRelay(uint64_t id) override {
    cancelled.push_back(id);
    if (held != nullptr) {
      std::exchange(held,
                    nullptr)(Fail(ErrorCode::kCancelled, "peer.relay", "", ""));
    }
  }
  void PushConfig(const ConfigDelta&) override {}
  std::map<EntryId, PeerView> Peers() const override { return peers; }

  RelayCallback held;
};

class FakeTickets : public TicketBook {
 public:
  TicketCheck check{TicketVerdict::kNotATicket, EntryId()};
  std::string Issue(WallTime) override { return "ticket-1"; }
  TicketCheck Redeem(absl::string_view, WallTime) override { return check; }
};

class FakeClaims : public ClaimRegistry {
 public:
  Result<ClaimVerdict> verdict = ClaimVerdict::kClaimed;
  bool hold = false;
  ClaimCallback held;
  void Claim(const ProjectId&,
             absl::string_view,
             MonoTime,
             ClaimCallback done) override {
    if (hold) {
      held = std::move(done);
    } else {
      done(verdict);
    }
  }
};

class FakeProjects : public ProjectDirectory {
 public:
  absl::optional<PoolId> PoolOf(const ProjectId& project) const override {
    return project == ProjectId("shop") ? absl::make_optional(PoolId("pool"))
                                        : absl::nullopt;
  }
};

class FakeExchange : public HttpExchange {
 public:
  std::vector<HttpResponse> responses;
  std::function<void()> on_close;

  void Respond(HttpResponse response) override {
    responses.push_back(std::move(response));
  }
  void SetCloseListener(std::function<void()> listener) override {
    on_close = std::move(listener);
  }
  std::string Field(const char* name) const {
    const std::string* value = FindHeader(responses.at(0).headers, name);
    return value == nullptr ? "" : *value;
  }
  // Such as "503 not-run queue-full"; "none" before the response.
  std::string Summary() const {
    if (responses.size() != 1) {
      return responses.empty() ? "none" : "answered more than once";
    }
    std::string text = std::to_string(responses[0].status);
    for (const char* name : {"Figflow-Disposition", "Figflow-Reason"}) {
      if (const std::string value = Field(name); !value.empty()) {
        text += " " + value;
      }
    }
    return text;
  }
};

}  // namespace figflow

#endif  // UNITTESTS_REQUESTS_FAKES_H_
