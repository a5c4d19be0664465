#include "StandIns/Fleet/model_instances.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace figflow::model {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLatency{5};
constexpr milliseconds kMoveTime{1'500};
constexpr milliseconds kMaintenanceTime{2'000};

}  // namespace

class InstanceView : public InstanceGateway {
 public:
  InstanceView(ModelInstances& instances, NodePtr node)
      : instances_(instances), node_(std::move(node)) {}

  void List(std::function<void(Result<std::vector<Instance>>)> done) override {
    if (instances_.list_away) {
      RunIn(instances_.time_, node_, milliseconds(1'500), [done] {
        done(Fail(ErrorCode::kUnavailable, "instances.list", "", "no answer"));
      });
      return;
    }
    std::vector<Instance> list;
    for (const auto& [id, record] : instances_.instances_) {
      list.push_back(record.instance);
    }
    RunIn(instances_.time_, node_, kLatency,
          [done, list = std::move(list)] { done(list); });
  }
  void Move(const InstanceOrder& order,
            std::function<void(Result<InstanceAnswer>)> done) override {
    Send(order, done, &ModelInstances::Move);
  }
  void Maintain(const InstanceOrder& order,
                std::function<void(Result<InstanceAnswer>)> done) override {
    Send(order, done, &ModelInstances::Maintain);
  }

 private:
  void Send(const InstanceOrder& order,
            const std::function<void(Result<InstanceAnswer>)>& done,
            InstanceAnswer (ModelInstances::*carry_out)(const InstanceOrder&)) {
    if (node_->store_cut) {
      RunIn(instances_.time_, node_, milliseconds(1'500), [done] {
        done(Fail(ErrorCode::kUnknownOutcome, "model.instances", "",
                  "no answer"));
      });
      return;
    }
    // The order arrives even if its sender, and this view, is gone by then.
    ModelInstances& instances = instances_;
    instances.time_.After(kLatency, [&instances, node = node_, order, done,
                                     carry_out] {
      instances.promises_.OnInstanceOrder(order.instance, order.fence);
      const InstanceAnswer answer = (instances.*carry_out)(order);
      RunIn(instances.time_, node, kLatency, [done, answer] { done(answer); });
    });
  }

  ModelInstances& instances_;
  const NodePtr node_;
};

ModelInstances::ModelInstances(VirtualTime& time,
                               ModelWorkers& workers,
                               Promises& promises)
    : time_(time), workers_(workers), promises_(promises) {}

std::unique_ptr<InstanceGateway> ModelInstances::ViewOf(NodePtr node) {
  return std::make_unique<InstanceView>(*this, std::move(node));
}

std::string ModelInstances::Add(const std::string& pool,
                                const Resources& capacity) {
  std::string id = absl::StrCat("m", next_id_++);
  Record& record = instances_[id];
  record.instance.id = id;
  record.instance.pool = pool;
  record.instance.state = InstanceStatus::kUp;
  record.capacity = capacity;
  if (pool != spare_pool_) {
    record.instance.worker = workers_.Add(pool, id, capacity);
  }
  return id;
}

void ModelInstances::SetWave(const MaintenanceWave& wave) {
  waves_[wave.number] = wave;
}

void ModelInstances::Crash(const std::string& id, milliseconds down) {
  Record& record = instances_.at(id);
  if (record.instance.state == InstanceStatus::kUp) {
    TakeDown(record, InstanceStatus::kDown, down);
  }
}

const Instance* ModelInstances::Find(const std::string& id) const {
  const auto known = instances_.find(id);
  return known == instances_.end() ? nullptr : &known->second.instance;
}

int ModelInstances::Maintained(uint64_t wave) const {
  const auto known = maintained_.find(wave);
  return known == maintained_.end() ? 0
                                    : static_cast<int>(known->second.size());
}

int ModelInstances::CountIn(const std::string& pool) const {
  return static_cast<int>(std::count_if(
      instances_.begin(), instances_.end(),
      [&](const auto& item) { return item.second.instance.pool == pool; }));
}

void ModelInstances::TakeDown(Record& record,
                              InstanceStatus state,
                              milliseconds time) {
  if (!record.instance.worker.empty()) {
    workers_.Crash(record.instance.worker);
    record.instance.worker.clear();
  }
  record.instance.state = state;
  time_.After(time, [this, id = record.instance.id] {
    Record& back = instances_.at(id);
    back.instance.state = InstanceStatus::kUp;
    for (auto& [number, down] : down_) {
      down.erase(id);
    }
    if (back.instance.pool != spare_pool_) {
      back.instance.worker =
          workers_.Add(back.instance.pool, id, back.capacity);
    }
  });
}

InstanceAnswer ModelInstances::Move(const InstanceOrder& order) {
  const auto known = instances_.find(order.instance);
  if (known == instances_.end()) {
    return InstanceAnswer::kRefused;
  }
  Record& record = known->second;
  if (record.instance.pool == order.pool) {
    return InstanceAnswer::kDone;
  }
  if (record.instance.state != InstanceStatus::kUp) {
    return InstanceAnswer::kBusy;
  }
  record.instance.pool = order.pool;
  TakeDown(record, InstanceStatus::kMoving, kMoveTime);
  if (on_move) {
    on_move();
  }
  return InstanceAnswer::kDone;
}

InstanceAnswer ModelInstances::Maintain(const InstanceOrder& order) {
  const auto known = instances_.find(order.instance);
  if (known == instances_.end() || waves_.count(order.wave) == 0) {
    return InstanceAnswer::kRefused;
  }
  if (maintained_[order.wave].count(order.instance) > 0) {
    return InstanceAnswer::kDone;
  }
  Record& record = known->second;
  if (record.instance.state != InstanceStatus::kUp) {
    return InstanceAnswer::kBusy;
  }
  maintained_[order.wave].insert(order.instance);
  down_[order.wave].insert(order.instance);
  promises_.OnMaintenance(order.wave,
                          static_cast<int>(down_[order.wave].size()),
                          waves_.at(order.wave).max_down);
  TakeDown(record, InstanceStatus::kMaintenance, kMaintenanceTime);
  return InstanceAnswer::kDone;
}

}  // namespace figflow::model
