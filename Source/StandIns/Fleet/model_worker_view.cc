// How one daemon reaches the model's workers.
#include <utility>

#include "StandIns/Fleet/model_workers.h"

namespace figflow::model {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOrderTimeout{350};
constexpr milliseconds kHoldMargin{400};

Error NoAnswer(const std::string& worker) {
  return {ErrorCode::kDeadlineExceeded, "model.worker", worker, "no answer"};
}

}  // namespace

// Orders of one daemon.
class WorkerView : public WorkerGateway {
 public:
  WorkerView(ModelWorkers& workers, NodePtr node)
      : workers_(workers), node_(std::move(node)) {}

  void Start(const StartOrder& order, OrderCallback done) override {
    SendOrder(order, done, &ModelWorkers::Start);
  }
  void Stop(const StopOrder& order, OrderCallback done) override {
    SendOrder(order, done, &ModelWorkers::Stop);
  }
  void Pace(const PaceOrder& order, OrderCallback done) override {
    SendOrder(order, done, &ModelWorkers::Pace);
  }

  void Ask(const PolicyQuery& question, PolicyCallback done) override {
    workers_.Ask(node_, question, done);
  }

  void Hold(const HoldOrder& order, HoldCallback done) override {
    const auto limit = order.wait + kHoldMargin;
    auto answered = std::make_shared<bool>(false);
    RunIn(workers_.time_, node_, limit, [answered, done, order] {
      if (!std::exchange(*answered, true)) {
        done(tl::unexpected<Error>(NoAnswer(order.target.worker.id)));
      }
    });
    const NodePtr node = node_;
    ModelWorkers& workers = workers_;
    workers.time_.After(
        workers.faults.latency, [&workers, node, order, done, answered] {
          ModelWorker* worker = workers.Find(order.target.worker.id);
          if (Unreached(worker, node)) {
            return;
          }
          const int64_t life = worker->report.key.incarnation;
          const auto answer = [&workers, node, order, done, answered, life] {
            ModelWorker* now = workers.Find(order.target.worker.id);
            // The next life does not know the connections of this one.
            if (Unreached(now, node) || now->answers_lost ||
                now->report.key.incarnation != life) {
              return;
            }
            const HoldResponse look = workers.Look(*now, order);
            RunIn(workers.time_, node, workers.faults.latency,
                  [answered, done, look] {
                    if (!std::exchange(*answered, true)) {
                      done(look);
                    }
                  });
          };
          // The lease counts from the arrival, the lists from the answer.
          const HoldResponse first = workers.Look(*worker, order);
          const bool at_once = order.wait.count() == 0 ||
                               first.answer != OrderOutcome::kStarted ||
                               !first.status.ended.empty();
          if (at_once) {
            answer();
            return;
          }
          auto once = std::make_shared<bool>(false);
          const auto answer_once = [once, answer] {
            if (!std::exchange(*once, true)) {
              answer();
            }
          };
          worker->waiting.push_back(answer_once);
          workers.time_.After(order.wait, answer_once);
        });
  }

 private:
  static bool Unreached(const ModelWorker* worker, const NodePtr& node) {
    return worker == nullptr || !worker->alive || worker->cut ||
           node->workers_cut;
  }

  template <typename Order>
  void SendOrder(const Order& order,
                 const OrderCallback& done,
                 OrderOutcome (ModelWorkers::*carry_out)(ModelWorker&,
                                                         const Order&)) {
    auto answered = std::make_shared<bool>(false);
    RunIn(workers_.time_, node_, kOrderTimeout, [answered, done, order] {
      if (!std::exchange(*answered, true)) {
        done(tl::unexpected<Error>(NoAnswer(order.target.worker.id)));
      }
    });
    std::uniform_real_distribution<double> share(0, 1);
    const double draw = share(workers_.random_);
    const WorkerFaults& faults = workers_.faults;
    const bool late = draw < faults.late_share;
    const bool lost =
        !late && draw < faults.late_share + faults.answer_lost_share;
    std::uniform_int_distribution<int> late_ms(2'000, 12'000);
    const milliseconds delay =
        late ? milliseconds(late_ms(workers_.random_)) : faults.latency;
    const NodePtr node = node_;
    ModelWorkers& workers = workers_;
    workers.time_.After(
        delay, [&workers, node, order, done, answered, late, lost, carry_out] {
          ModelWorker* worker = workers.Find(order.target.worker.id);
          if (Unreached(worker, node)) {
            return;
          }
          OrderResponse answer;
          answer.answer = (workers.*carry_out)(*worker, order);
          answer.clock = workers.ClockOf(*worker);
          if (late || lost || worker->answers_lost) {
            return;
          }
          RunIn(workers.time_, node, workers.faults.latency,
                [answered, done, answer] {
                  if (!std::exchange(*answered, true)) {
                    done(answer);
                  }
                });
        });
  }

  ModelWorkers& workers_;
  const NodePtr node_;
};

std::unique_ptr<WorkerGateway> ModelWorkers::ViewOf(NodePtr node) {
  return std::make_unique<WorkerView>(*this, std::move(node));
}

}  // namespace figflow::model
