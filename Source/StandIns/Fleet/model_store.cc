#include "StandIns/Fleet/model_store.h"

#include <algorithm>
#include <utility>

#include "StandIns/Fleet/model_store_sizes.h"
#include "absl/strings/match.h"

namespace figflow::model {
namespace {

constexpr size_t kPageItems = 500;
constexpr std::chrono::milliseconds kStoreLeaseCheck{50};

Error Lost(const char* step) {
  return {ErrorCode::kUnknownOutcome, step, "store", "no answer"};
}

Error TurnedAway(const char* step) {
  return {ErrorCode::kUnavailable, step, "store", "turned away"};
}

}  // namespace

// Calls of one daemon.
class StoreView : public TransactionalStore {
 public:
  StoreView(ModelStore& store, NodePtr node)
      : store_(store), node_(std::move(node)) {}

  void Commit(const Transaction& transaction,
              std::chrono::milliseconds timeout,
              StoreCallback<TransactionResult> done) override {
    Call<TransactionResult>(
        "model.commit", true, timeout,
        [this, transaction]() -> Result<TransactionResult> {
          if (!IsWithinLimits(transaction, store_.faults.max_value_bytes)) {
            ++store_.refused_;
            return Fail(ErrorCode::kRefused, "model.commit", "store",
                        "a limit is exceeded");
          }
          bool lease_missing = false;
          TransactionResult result = store_.Apply(transaction, &lease_missing);
          if (lease_missing) {
            return Fail(ErrorCode::kNotFound, "model.commit", "store",
                        "no such lease");
          }
          return result;
        },
        std::move(done));
  }

  void Get(const std::string& key,
           std::chrono::milliseconds timeout,
           StoreCallback<std::optional<StoreItem>> done) override {
    Call<std::optional<StoreItem>>(
        "model.get", false, timeout,
        [this, key]() -> Result<std::optional<StoreItem>> {
          const StoreItem* item = store_.Find(key);
          return item == nullptr ? std::optional<StoreItem>()
                                 : std::optional<StoreItem>(*item);
        },
        std::move(done));
  }

  uint64_t Range(const std::string& prefix,
                 const std::string& after,
                 std::chrono::milliseconds timeout,
                 StoreCallback<RangePage> done) override {
    const uint64_t id = store_.next_waiter_++;
    Call<RangePage>(
        "model.range", false, timeout,
        [this, prefix, after]() -> Result<RangePage> {
          RangePage page;
          page.store_revision = store_.revision_;
          for (const auto& [key, item] : store_.items_) {
            if (!absl::StartsWith(key, prefix) || key <= after) {
              continue;
            }
            if (page.items.size() == kPageItems) {
              page.truncated = true;
              break;
            }
            page.items.push_back(item);
          }
          page.cost.bytes = AnswerBytes(page.items);
          return page;
        },
        Track(id, std::move(done)), id);
    return id;
  }

  uint64_t Watch(const WatchCall& call,
                 StoreCallback<StoreChanges> caller) override {
    const std::chrono::milliseconds wait = call.wait;
    const uint64_t id = store_.next_waiter_++;
    const StoreCallback<StoreChanges> done = Track(id, std::move(caller));
    if (Blocked<StoreChanges>("model.watch", wait, done)) {
      return id;
    }
    VirtualTime& time = store_.time_;
    const NodePtr node = node_;
    const auto latency = store_.faults.latency;
    store_.waiters_[id] = {
        call.prefix, call.after_revision,
        [this, id, &time, node, latency, done, prefix = call.prefix,
         most = call.max_answer_bytes](StoreChanges changes) {
          if (node->store_answers_lost || node->store_cut ||
              node->silent_prefix == prefix) {
            store_.lost_.insert(id);
            return;
          }
          size_t bytes = AnswerBytes(changes.changes);
          if (bytes > most) {
            // The head of the answer tells.
            changes = StoreChanges();
            changes.too_large = true;
            bytes = kItemOverhead;
          }
          changes.cost.bytes = bytes;
          silent_.erase(id);
          const auto delay = SendOverLink(*node, bytes, latency, time.Now());
          RunIn(time, node, delay, [done, changes] { done(changes); });
        }};
    time.After(latency, [this] { store_.Notify(); });
    // What is there when the call arrives is told, however short the wait is.
    time.After(
        std::max<VirtualTime::Duration>(wait, latency),
        [this, id, latency, done, node, prefix = call.prefix] {
          const bool waiting = store_.waiters_.erase(id) > 0;
          StoreChanges none;
          none.store_revision = 0;
          if (!waiting) {
            return;
          }
          if (store_.faults.silent || node->store_cut ||
              node->store_answers_lost || node->silent_prefix == prefix) {
            store_.lost_.insert(id);
            return;
          }
          RunIn(store_.time_, node, latency, [done, none] { done(none); });
        });
    // A watch that got lost ends by the caller's own time limit.
    RunIn(time, node_, wait + std::chrono::milliseconds(800), [this, id, done] {
      if (store_.waiters_.erase(id) > 0 || store_.lost_.erase(id) > 0) {
        done(tl::unexpected<Error>(Lost("model.watch")));
      }
    });
    return id;
  }

  void EndIfSilent(uint64_t call) override {
    const auto silent = silent_.find(call);
    if (silent == silent_.end()) {
      return;
    }
    store_.waiters_.erase(call);
    store_.lost_.erase(call);
    const std::function<void()> end = std::move(silent->second);
    silent_.erase(silent);
    open_.erase(call);
    RunIn(store_.time_, node_, std::chrono::milliseconds(0), end);
  }

  void GrantLease(std::chrono::milliseconds ttl,
                  std::chrono::milliseconds timeout,
                  StoreCallback<LeaseId> done) override {
    Call<LeaseId>(
        "model.lease", true, timeout,
        [this, ttl]() -> Result<LeaseId> {
          const LeaseId id = store_.next_lease_++;
          store_.leases_[id] = {ttl, store_.time_.Now() + ttl};
          return id;
        },
        std::move(done));
  }

  void KeepLease(LeaseId lease,
                 std::chrono::milliseconds timeout,
                 StoreCallback<std::chrono::milliseconds> done) override {
    Call<std::chrono::milliseconds>(
        "model.keep", false, timeout,
        [this, lease]() -> Result<std::chrono::milliseconds> {
          if (store_.faults.refuse_renewals) {
            return Fail(ErrorCode::kRefused, "model.keep", "store", "refused");
          }
          const auto known = store_.leases_.find(lease);
          if (known == store_.leases_.end()) {
            return Fail(ErrorCode::kNotFound, "model.keep", "store",
                        "no such lease");
          }
          known->second.ends = store_.time_.Now() + known->second.ttl;
          return known->second.ttl;
        },
        std::move(done));
  }

  void EndLease(LeaseId lease,
                std::chrono::milliseconds timeout,
                StoreCallback<bool> done) override {
    Call<bool>(
        "model.end", true, timeout,
        [this, lease]() -> Result<bool> {
          const auto known = store_.leases_.find(lease);
          if (known == store_.leases_.end()) {
            return false;
          }
          known->second.ends = store_.time_.Now();
          store_.ExpireLeases();
          return true;
        },
        std::move(done));
  }

 private:
  // Remembers a read until it ends; what comes for it later is left out.
  template <typename T>
  StoreCallback<T> Track(uint64_t id, StoreCallback<T> done) {
    open_.insert(id);
    silent_[id] = [done] {
      done(Fail(ErrorCode::kCancelled, "model.read", "store", "ended"));
    };
    return [this, id, done](Result<T> result) {
      silent_.erase(id);
      if (open_.erase(id) > 0) {
        done(std::move(result));
      }
    };
  }

  // Fails the call if the daemon cannot reach the store.
  template <typename T>
  bool Blocked(const char* step,
               std::chrono::milliseconds timeout,
               const StoreCallback<T>& done) {
    if (store_.faults.silent || node_->store_cut) {
      RunIn(store_.time_, node_, timeout,
            [done, step] { done(tl::unexpected<Error>(Lost(step))); });
      return true;
    }
    if (node_->store_busy) {
      RunIn(store_.time_, node_, store_.faults.latency,
            [done, step] { done(tl::unexpected<Error>(TurnedAway(step))); });
      return true;
    }
    return false;
  }

  template <typename T>
  void Call(const char* step,
            bool write,
            std::chrono::milliseconds timeout,
            std::function<Result<T>()> carry_out,
            StoreCallback<T> done,
            uint64_t id = 0) {
    if (Blocked<T>(step, timeout, done)) {
      return;
    }
    const auto latency = store_.faults.latency;
    std::uniform_real_distribution<double> share(0, 1);
    const bool cut_back = node_->store_answers_lost;
    const bool lost =
        cut_back || (write && share(store_.random_) < store_.faults.lost_share);
    if (lost) {
      std::uniform_int_distribution<int> late_ms(1'000, 6'000);
      const auto delay =
          store_.faults.lost_late && !cut_back
              ? std::chrono::milliseconds(late_ms(store_.random_))
              : latency;
      store_.time_.After(delay, [carry_out] { (void)carry_out(); });
      RunIn(store_.time_, node_, timeout,
            [done, step] { done(tl::unexpected<Error>(Lost(step))); });
      return;
    }
    // Half of the latency passes on the way there. A call that takes longer
    // than its time limit is carried out all the same.
    store_.time_.After(
        latency / 2, [this, step, carry_out, done, latency, timeout, id] {
          Result<T> result = carry_out();
          if (latency > timeout) {
            RunIn(store_.time_, node_, timeout - latency / 2,
                  [done, step] { done(tl::unexpected<Error>(Lost(step))); });
            return;
          }
          const size_t bytes = result ? AnswerBytes(*result) : kItemOverhead;
          silent_.erase(id);
          const auto delay =
              SendOverLink(*node_, bytes, latency / 2, store_.time_.Now());
          RunIn(store_.time_, node_, delay,
                [done, result = std::move(result)] { done(result); });
        });
  }

  ModelStore& store_;
  const NodePtr node_;
  // Reads that have not ended, and how to end those without an answer so far.
  std::set<uint64_t> open_;
  std::map<uint64_t, std::function<void()>> silent_;
};

ModelStore::ModelStore(VirtualTime& time, uint64_t seed)
    : time_(time), random_(seed) {
  time_.After(kStoreLeaseCheck, [this] { CheckLeases(); });
}

std::unique_ptr<TransactionalStore> ModelStore::ViewOf(NodePtr node) {
  return std::make_unique<StoreView>(*this, std::move(node));
}

const StoreItem* ModelStore::Find(const std::string& key) const {
  const auto item = items_.find(key);
  return item == items_.end() ? nullptr : &item->second;
}

void ModelStore::Write(const std::string& key,
                       const std::string& value,
                       LeaseId lease) {
  StoreItem item;
  item.key = key;
  item.value = value;
  item.revision = revision_;
  item.lease = lease;
  items_[key] = item;
  history_.emplace(revision_, item);
}

void ModelStore::Put(const std::string& key, const std::string& value) {
  ++revision_;
  Write(key, value, 0);
  Notify();
}

void ModelStore::Remove(const std::string& key) {
  if (items_.erase(key) == 0) {
    return;
  }
  ++revision_;
  StoreItem gone;
  gone.key = key;
  gone.revision = revision_;
  gone.removed = true;
  history_.emplace(revision_, gone);
  Notify();
}

void ModelStore::Revoke(const std::string& key) {
  Remove(key);
}

void ModelStore::ForgetHistory() {
  forgotten_ = revision_;
  history_.clear();
  std::map<uint64_t, Waiter> waiters;
  waiters.swap(waiters_);
  for (auto& [id, waiter] : waiters) {
    StoreChanges lost;
    lost.history_lost = true;
    waiter.done(lost);
  }
}

void ModelStore::SwallowWatches() {
  for (const auto& [id, waiter] : waiters_) {
    lost_.insert(id);
  }
  waiters_.clear();
}

TransactionResult ModelStore::Apply(const Transaction& transaction,
                                    bool* lease_missing) {
  TransactionResult result;
  bool met = true;
  for (const auto& [key, revision] : transaction.expected) {
    const StoreItem* item = Find(key);
    met = met && (item == nullptr ? 0 : item->revision) == revision;
    if (item != nullptr) {
      result.current.push_back(*item);
    }
  }
  if (!met) {
    return result;
  }
  for (const StoreWrite& write : transaction.writes) {
    if (write.lease != 0 && leases_.count(write.lease) == 0) {
      *lease_missing = true;
      return result;
    }
  }
  result.current.clear();
  result.committed = true;
  ++commits_;
  ++revision_;
  result.revision = revision_;
  for (const StoreWrite& write : transaction.writes) {
    Write(write.key, write.value, write.lease);
  }
  for (const std::string& key : transaction.removals) {
    if (items_.erase(key) > 0) {
      StoreItem gone;
      gone.key = key;
      gone.revision = revision_;
      gone.removed = true;
      history_.emplace(revision_, gone);
    }
  }
  Notify();
  return result;
}

StoreChanges ModelStore::ChangesAfter(const std::string& prefix,
                                      uint64_t revision) const {
  StoreChanges changes;
  changes.store_revision = revision_;
  if (revision < forgotten_) {
    changes.history_lost = true;
    return changes;
  }
  for (auto it = history_.upper_bound(revision); it != history_.end(); ++it) {
    if (absl::StartsWith(it->second.key, prefix)) {
      changes.changes.push_back(it->second);
    }
  }
  return changes;
}

void ModelStore::Notify() {
  if (faults.silent) {
    return;
  }
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    Waiter& waiter = it->second;
    const uint64_t after = waiter.after < forgotten_
                               ? waiter.after
                               : std::max(waiter.after, waiter.checked);
    StoreChanges changes = ChangesAfter(waiter.prefix, after);
    if (changes.changes.empty() && !changes.history_lost) {
      waiter.checked = revision_;
      ++it;
      continue;
    }
    const auto done = std::move(waiter.done);
    it = waiters_.erase(it);
    done(std::move(changes));
  }
}

void ModelStore::ExpireLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > time_.Now()) {
      ++it;
      continue;
    }
    const LeaseId lease = it->first;
    it = leases_.erase(it);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == lease) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key);
    }
  }
}

void ModelStore::CheckLeases() {
  if (!faults.silent || faults.lapse) {
    ExpireLeases();
  } else {
    // Leases stand still meanwhile.
    for (auto& [id, lease] : leases_) {
      lease.ends += kStoreLeaseCheck;
    }
  }
  time_.After(kStoreLeaseCheck, [this] { CheckLeases(); });
}

}  // namespace figflow::model
