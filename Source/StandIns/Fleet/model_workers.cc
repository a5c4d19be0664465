#include "StandIns/Fleet/model_workers.h"

#include <algorithm>
#include <utility>

#include "Common/json.h"

#include "Common/cbor.h"
#include "Scheduling/job.h"
#include "Scheduling/worker_state.h"
#include "absl/strings/str_cat.h"

namespace figflow::model {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kLongestLease{6'000};
constexpr milliseconds kWorkerLeaseCheck{20};
constexpr milliseconds kStopTime{100};
constexpr milliseconds kGangWait{3'000};
constexpr size_t kMostListedEnds = 500;

}  // namespace

std::string FormatModelWorker(const WorkerReport& report) {
  return FormatCbor(json::array(
      {report.key.incarnation, report.pool, report.address, report.instance,
       report.capacity.cpu_millicores, report.capacity.memory_mb,
       report.draining, report.clock.count(), report.rack, report.labels}));
}

Result<WorkerReport> ParseModelWorker(const std::string& id,
                                      absl::string_view bytes) {
  return ParseCbor<WorkerReport>(bytes, "model.worker", [&](const json& row) {
    WorkerReport report;
    report.key = {id, row.at(0).get<int64_t>()};
    report.pool = row.at(1).get<std::string>();
    report.address = row.at(2).get<std::string>();
    report.instance = row.at(3).get<std::string>();
    report.capacity.cpu_millicores = row.at(4).get<int64_t>();
    report.capacity.memory_mb = row.at(5).get<int64_t>();
    report.draining = row.at(6).get<bool>();
    report.clock = milliseconds(row.at(7).get<int64_t>());
    report.rack = row.at(8).get<std::string>();
    report.labels = row.at(9).get<std::vector<std::string>>();
    return report;
  });
}

ModelWorkers::ModelWorkers(VirtualTime& time,
                           ModelStore& store,
                           Promises& promises,
                           uint64_t seed)
    : time_(time),
      store_(store),
      promises_(promises),
      random_(seed),
      registry_{kModelWorkerPrefix, &FormatModelWorker} {
  time_.After(kWorkerLeaseCheck, [this] { CheckLeases(); });
}

std::string ModelWorkers::Add(const std::string& pool,
                              const std::string& instance,
                              const Resources& capacity) {
  auto worker = std::make_unique<ModelWorker>();
  worker->report.key.id = absl::StrCat("w", next_id_);
  worker->report.key.incarnation = 1'000 + next_id_;
  ++next_id_;
  worker->report.pool = pool;
  worker->report.address = worker->report.key.id + ":1";
  worker->report.instance = instance;
  worker->report.capacity = capacity;
  worker->born = time_.Now();
  worker->clock_rate = clock_rate_;
  std::string id = worker->report.key.id;
  Enter(*worker);
  workers_[id] = std::move(worker);
  return id;
}

void ModelWorkers::Enter(const ModelWorker& worker) {
  WorkerReport report = worker.report;
  report.clock = ClockOf(worker);
  store_.Put(registry_.prefix + report.key.id, registry_.format(report));
}

void ModelWorkers::StartHeartbeats(milliseconds interval, milliseconds kept) {
  registry_keeps_ = kept;
  time_.After(interval, [this, interval, kept] {
    for (const auto& [id, worker] : workers_) {
      if (worker->alive) {
        Enter(*worker);
      }
    }
    StartHeartbeats(interval, kept);
  });
}

ModelWorker* ModelWorkers::Find(const std::string& id) {
  const auto known = workers_.find(id);
  return known == workers_.end() ? nullptr : known->second.get();
}

std::vector<std::string> ModelWorkers::Ids(const std::string& pool) const {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : workers_) {
    if (worker->alive && worker->report.pool == pool) {
      ids.push_back(id);
    }
  }
  return ids;
}

void ModelWorkers::Crash(const std::string& id) {
  ModelWorker& worker = *workers_.at(id);
  worker.alive = false;
  worker.restarts = false;
  const std::map<std::string, ModelWorker::Run> lost =
      std::move(worker.running);
  worker.running.clear();
  promises_.OnWorkerGone(id, time_.Now());
  for (const auto& [task, run] : lost) {
    if (run.gang == 0) {
      continue;
    }
    for (const auto& [there, member] : MembersOf(run)) {
      EndRun(*there, member, RunResult::kGangMemberEnded);
    }
  }
  time_.After(registry_keeps_,
              [this, id, life = worker.report.key.incarnation] {
                if (Find(id)->report.key.incarnation == life) {
                  store_.Remove(registry_.prefix + id);
                }
              });
}

void ModelWorkers::Restart(const std::string& id,
                           milliseconds down,
                           milliseconds unseen) {
  Crash(id);
  workers_.at(id)->restarts = true;
  time_.After(down, [this, id, unseen] {
    std::unique_ptr<ModelWorker>& worker = workers_.at(id);
    if (!worker->restarts) {
      return;
    }
    auto next = std::make_unique<ModelWorker>();
    next->report = worker->report;
    next->report.key.incarnation = 1'000 + next_id_++;
    next->cut = worker->cut;
    next->clock_rate = worker->clock_rate;
    next->born = time_.Now();
    const int64_t life = next->report.key.incarnation;
    worker = std::move(next);
    time_.After(unseen, [this, id, life] {
      const ModelWorker& listed = *Find(id);
      if (listed.alive && listed.report.key.incarnation == life) {
        Enter(listed);
      }
    });
  });
}

void ModelWorkers::Drain(const std::string& id) {
  ModelWorker& worker = *workers_.at(id);
  worker.report.draining = true;
  Enter(worker);
}

milliseconds ModelWorkers::ClockOf(const ModelWorker& worker) const {
  const auto lived =
      std::chrono::duration<double, std::milli>(time_.Now() - worker.born);
  // Starts above 0, as a clock that nobody set.
  return milliseconds(5'000 +
                      static_cast<int64_t>(lived.count() * worker.clock_rate));
}

OrderOutcome ModelWorkers::Start(ModelWorker& worker, const StartOrder& order) {
  if (order.target.fence < worker.fence) {
    return OrderOutcome::kFenced;
  }
  worker.fence = order.target.fence;
  const milliseconds clock = ClockOf(worker);
  const std::string task = FormatTaskName(order.task);
  if (order.deadline <= clock) {
    return OrderOutcome::kLate;
  }
  const auto here = worker.running.find(task);
  const bool is_here =
      here != worker.running.end() && here->second.run == order.run;
  const auto highest = worker.highest_ended.find(task);
  const bool outdated =
      !is_here &&
      ((highest != worker.highest_ended.end() &&
        order.run <= highest->second) ||
       (here != worker.running.end() && order.run < here->second.run));
  worker.lease =
      std::max(worker.lease, std::min(order.deadline, clock + kLongestLease));
  if (is_here) {
    return OrderOutcome::kStarted;
  }
  if (outdated) {
    return OrderOutcome::kOutdated;
  }
  if (allows && !TicketHolds(worker, order)) {
    return OrderOutcome::kNoTicket;
  }
  const StageSpec& stage = order.job->spec.stages.at(order.task.stage);
  Resources used = ReservedResources(stage);
  for (const auto& [name, run] : worker.running) {
    used += run.size;
  }
  if (!used.FitsIn(worker.report.capacity)) {
    return OrderOutcome::kInsufficientCapacity;
  }
  ModelWorker::Run run;
  run.run = order.run;
  run.name = order.task;
  run.size = ReservedResources(stage);
  run.started = time_.Now();
  run.behaviour = behaviour ? behaviour(order.task) : TaskBehaviour();
  run.perpetual = stage.perpetual;
  run.filler = stage.filler;
  run.gang = stage.gang ? stage.count : 0;
  run.serial = next_serial_++;
  if (worker.grey) {
    run.behaviour = {milliseconds(20), true};
  }
  promises_.OnStarted(worker.report, order.task, order.run, time_.Now());
  worker.running[task] = run;
  const std::string id = worker.report.key.id;
  if (run.gang > 0) {
    JoinGang(id, run);
  } else if (!run.perpetual || run.behaviour.fails) {
    ScheduleEnd(id, run, run.behaviour.duration,
                run.behaviour.fails ? RunResult::kFailed : RunResult::kDone);
  }
  return OrderOutcome::kStarted;
}

OrderOutcome ModelWorkers::Stop(ModelWorker& worker, const StopOrder& order) {
  if (order.target.fence < worker.fence) {
    return OrderOutcome::kFenced;
  }
  worker.fence = order.target.fence;
  const std::string task = FormatTaskName(order.task);
  uint32_t& highest = worker.highest_ended[task];
  highest = std::max(highest, order.run);
  const auto here = worker.running.find(task);
  if (here != worker.running.end() && here->second.run <= order.run) {
    const uint64_t serial = here->second.serial;
    time_.After(kStopTime, [this, id = worker.report.key.id, task, serial] {
      ModelWorker* stopped = Find(id);
      if (stopped == nullptr || !stopped->alive) {
        return;
      }
      const auto current = stopped->running.find(task);
      if (current != stopped->running.end() &&
          current->second.serial == serial) {
        EndRun(*stopped, task, RunResult::kStopped);
      }
    });
  }
  return OrderOutcome::kStarted;
}

OrderOutcome ModelWorkers::Pace(ModelWorker& worker, const PaceOrder& order) {
  if (order.target.fence < worker.fence) {
    return OrderOutcome::kFenced;
  }
  const auto here = worker.running.find(FormatTaskName(order.task));
  if (here != worker.running.end() && here->second.run == order.run) {
    here->second.pace = order.percent;
  }
  return OrderOutcome::kStarted;
}

void ModelWorkers::Ask(const NodePtr& node,
                       const PolicyQuery& question,
                       const WorkerGateway::PolicyCallback& done) {
  if (node->policy_queries >= policy.most_waiting) {
    RunIn(time_, node, faults.latency, [done] {
      done(Fail(ErrorCode::kUnavailable, "model.policy", "", "turned away"));
    });
    return;
  }
  ++node->policy_queries;
  const MonoTime begun = std::max(time_.Now(), node->policy_free_at);
  node->policy_free_at = begun + policy.query_time +
                         policy.time_per_worker * question.workers.size();
  PolicyResponse answer;
  answer.lifetime = policy.ticket_lifetime;
  const MonoTime expires = begun + policy.ticket_lifetime;
  for (const WorkerKey& worker : question.workers) {
    if (!allows || allows(question.stage, worker.id)) {
      const std::string ticket = absl::StrCat("t", next_serial_++);
      answer.allowed.push_back({worker.id, ticket});
      tickets_[ticket] = {worker.id, question.stage, expires};
    }
  }
  RunIn(time_, node, node->policy_free_at - time_.Now(), [node, done, answer] {
    --node->policy_queries;
    done(answer);
  });
}

bool ModelWorkers::TicketHolds(const ModelWorker& worker,
                               const StartOrder& order) const {
  const auto ticket = tickets_.find(order.ticket);
  return ticket != tickets_.end() &&
         ticket->second.worker == worker.report.key.id &&
         ticket->second.stage.job == order.task.job &&
         ticket->second.stage.stage == order.task.stage &&
         ticket->second.expires >= time_.Now();
}

void ModelWorkers::ScheduleEnd(const std::string& worker,
                               const ModelWorker::Run& run,
                               milliseconds delay,
                               RunResult end) {
  time_.After(delay, [this, worker, run, end] {
    ModelWorker* there = Find(worker);
    const std::string task = FormatTaskName(run.name);
    if (there == nullptr || !there->alive) {
      return;
    }
    const auto current = there->running.find(task);
    if (current != there->running.end() &&
        current->second.serial == run.serial) {
      EndRun(*there, task, end);
    }
  });
}

std::vector<std::pair<ModelWorker*, std::string>> ModelWorkers::MembersOf(
    const ModelWorker::Run& run) {
  std::vector<std::pair<ModelWorker*, std::string>> members;
  for (auto& [id, worker] : workers_) {
    for (const auto& [task, other] : worker->running) {
      if (worker->alive && other.name.job == run.name.job &&
          other.name.occurrence == run.name.occurrence &&
          other.name.stage == run.name.stage && other.run == run.run) {
        members.emplace_back(worker.get(), task);
      }
    }
  }
  return members;
}

void ModelWorkers::JoinGang(const std::string& worker,
                            const ModelWorker::Run& run) {
  const auto members = MembersOf(run);
  if (static_cast<int>(members.size()) < run.gang) {
    time_.After(kGangWait, [this, worker, run] {
      ModelWorker* there = Find(worker);
      const std::string task = FormatTaskName(run.name);
      const auto current = there == nullptr ? decltype(there->running.end())()
                                            : there->running.find(task);
      const bool waits = there != nullptr && there->alive &&
                         current != there->running.end() &&
                         current->second.serial == run.serial &&
                         static_cast<int>(MembersOf(run).size()) < run.gang;
      if (waits) {
        promises_.OnAlone(run.name);
        EndRun(*there, task, RunResult::kGangIncomplete);
      }
    });
    return;
  }
  for (const auto& [there, task] : members) {
    ScheduleEnd(there->report.key.id, there->running.at(task),
                run.behaviour.duration, RunResult::kDone);
  }
}

void ModelWorkers::EndRun(ModelWorker& worker,
                          const std::string& task,
                          RunResult end) {
  const auto here = worker.running.find(task);
  const ModelWorker::Run run = here->second;
  worker.running.erase(here);
  uint32_t& highest = worker.highest_ended[task];
  highest = std::max(highest, run.run);
  promises_.OnEnded(worker.report.key.id, run.name, run.run, end, time_.Now());
  EndedRun ended;
  ended.number = worker.next_end++;
  ended.name = run.name;
  ended.run = run.run;
  ended.end = end;
  worker.ended.push_back(std::move(ended));
  if (run.gang > 0 && end != RunResult::kDone &&
      end != RunResult::kGangMemberEnded) {
    for (const auto& [there, member] : MembersOf(run)) {
      EndRun(*there, member, RunResult::kGangMemberEnded);
    }
  }
  std::vector<std::function<void()>> waiting;
  waiting.swap(worker.waiting);
  for (const auto& answer : waiting) {
    answer();
  }
}

HoldResponse ModelWorkers::Look(ModelWorker& worker, const HoldOrder& order) {
  HoldResponse answer;
  if (order.target.fence < worker.fence) {
    answer.answer = OrderOutcome::kFenced;
    return answer;
  }
  worker.fence = order.target.fence;
  const milliseconds clock = ClockOf(worker);
  if (order.deadline && *order.deadline > clock) {
    worker.lease = std::max(worker.lease,
                            std::min(*order.deadline, clock + kLongestLease));
  }
  for (const EndedRun& ended : worker.ended) {
    if (ended.number <= order.acknowledged &&
        ended.number > worker.acknowledged && ended.number > worker.void_ends) {
      promises_.OnNoted(ended.name, ended.run, ended.end);
    }
  }
  worker.acknowledged = std::max(worker.acknowledged, order.acknowledged);
  worker.ended.erase(std::remove_if(worker.ended.begin(), worker.ended.end(),
                                    [&](const EndedRun& ended) {
                                      return ended.number <=
                                             worker.acknowledged;
                                    }),
                     worker.ended.end());
  answer.status.clock = clock;
  answer.status.incarnation = worker.report.key.incarnation;
  answer.status.ended = worker.ended;
  answer.status.more_ended = worker.ended.size() >= kMostListedEnds;
  if (answer.status.more_ended) {
    answer.status.ended.resize(kMostListedEnds);
  }
  for (const auto& [task, run] : worker.running) {
    RunningTask running;
    running.name = run.name;
    running.run = run.run;
    running.percent = 100;
    running.load = load ? load(worker, run) : -1;
    answer.status.running.push_back(std::move(running));
  }
  return answer;
}

void ModelWorkers::CheckLeases() {
  for (auto& [id, worker] : workers_) {
    if (worker->alive && worker->lease <= ClockOf(*worker)) {
      worker->void_ends = worker->next_end - 1;
      while (!worker->running.empty()) {
        const std::string task = worker->running.begin()->first;
        EndRun(*worker, task, RunResult::kLeaseExpired);
      }
    }
  }
  time_.After(kWorkerLeaseCheck, [this] { CheckLeases(); });
}

}  // namespace figflow::model
