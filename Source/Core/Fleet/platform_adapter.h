#ifndef FLEET_PLATFORM_ADAPTER_H_
#define FLEET_PLATFORM_ADAPTER_H_

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Http/http_message.h"
#include "Platform/transactional_store.h"
#include "Scheduling/fleet_plan.h"
#include "Scheduling/job.h"
#include "Scheduling/worker.h"
#include "Scheduling/worker_gateway.h"

namespace figflow {

// What a caller asks for.
enum class CallKind { kSubmit, kQuery, kCancel, kCountPending };

struct CallerCall {
  CallKind kind = CallKind::kQuery;
  std::string queue;
  std::string pool;
  std::string job;
  // For kSubmit.
  JobSpec spec;
  // How long the caller waits for the answer.
  std::chrono::milliseconds patience{0};
};

// How a call ended.
enum class CallOutcome {
  kAccepted,
  // Not taken, and never will be.
  kRefused,
  // It is not known whether the job was taken or the call took effect.
  kUnknown,
  // The call could not be carried out and had no effect; it may be repeated.
  kUnavailable,
  kState,
  kCancelled,
  kNoSuchJob,
  kPendingCount,
  kNoSuchQueue,
  kMalformed,
};

absl::string_view CallOutcomeName(CallOutcome outcome);

struct CallerReply {
  CallOutcome outcome = CallOutcome::kUnavailable;
  JobStatus status = JobStatus::kLive;
  bool started = false;
  int64_t pending = 0;
  // For kRefused and kUnavailable: when to come back.
  std::chrono::milliseconds retry_after{0};
  std::string reason;
  // Claim of the pool's owner that answered; 0 if none did.
  uint64_t fence = 0;
};

// Instances that are to be maintained, a few at a time.
struct MaintenanceWave {
  uint64_t number = 0;
  std::vector<std::string> instances;
  // From the moment at which the wave was written.
  std::chrono::milliseconds complete_within{0};
  // Instances that may be down at once.
  int max_down = 1;
};

enum class InstanceState { kUp, kMoving, kMaintenance, kDown };

struct Instance {
  std::string id;
  std::string pool;
  InstanceState state = InstanceState::kDown;
  std::string data_centre;
  std::string rack;
  // The worker that it runs; empty if none.
  std::string worker;
};

// How the platform answered an order for an instance.
enum class InstanceAnswer {
  // Carried out, now or before.
  kDone,
  // A higher fence was seen.
  kFenced,
  // Not up, or leaving; try again later.
  kBusy,
  // Not part of that wave, no such instance or no such pool.
  kRefused,
  // Turned away, nothing was done.
  kTurnedAway,
};

struct InstanceOrder {
  std::string instance;
  // Target pool of a move.
  std::string pool;
  // Wave of a maintenance.
  uint64_t wave = 0;
  std::string holder;
  uint64_t fence = 0;
};

// Moves and maintenance of instances. Calls return at once; an error means that
// no answer came and the order may have been carried out.
class InstanceGateway {
 public:
  virtual ~InstanceGateway() = default;
  virtual void List(
      std::function<void(Result<std::vector<Instance>>)> done) = 0;
  virtual void Move(const InstanceOrder& order,
                    std::function<void(Result<InstanceAnswer>)> done) = 0;
  virtual void Maintain(const InstanceOrder& order,
                        std::function<void(Result<InstanceAnswer>)> done) = 0;
};

// Everything that differs between platforms: how the product's terms are
// spelled on the wire and in the store.
class PlatformAdapter {
 public:
  virtual ~PlatformAdapter() = default;

  virtual TransactionalStore& store() = 0;
  virtual WorkerGateway& workers() = 0;
  virtual InstanceGateway& instances() = 0;

  // Prefix of the operators' keys: plan and waves.
  virtual std::string operator_prefix() const = 0;
  virtual bool IsPlanKey(absl::string_view key) const = 0;
  virtual Result<FleetPlan> ParsePlan(absl::string_view bytes) const = 0;
  virtual bool IsWaveKey(absl::string_view key) const = 0;
  virtual Result<MaintenanceWave> ParseWave(absl::string_view key,
                                            absl::string_view bytes) const = 0;
  virtual std::string WaveStatusKey(uint64_t wave) const = 0;
  virtual std::string FormatWaveStatus(uint64_t wave, bool completed) const = 0;

  virtual std::string worker_prefix() const = 0;
  // The worker's id that a key of the registry names.
  virtual std::string WorkerIdOf(absl::string_view key) const = 0;
  virtual Result<WorkerReport> ParseWorker(absl::string_view key,
                                           absl::string_view bytes) const = 0;

  // Errors: kNotFound, no queue at the address; kInvalid, malformed.
  virtual Result<CallerCall> ParseCall(const HttpRequest& request,
                                       const FleetPlan& plan) const = 0;
  virtual HttpResponse FormatReply(const CallerReply& reply) const = 0;
  // Answers the balancer's question whether this daemon takes connections.
  virtual HttpResponse AnswerProbe(const HttpRequest& request,
                                   bool ready) const = 0;
};

}  // namespace figflow

#endif  // FLEET_PLATFORM_ADAPTER_H_
