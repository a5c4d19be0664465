#include "Support/fake_key_value_store.h"

#include <utility>

#include "absl/strings/match.h"
#include "absl/time/time.h"

namespace figflow::test {
namespace {

constexpr char kPeer[] = "fake-store";

tl::unexpected<Error> Down(absl::string_view step) {
  return Fail(ErrorCode::kUnavailable, std::string(step), kPeer,
              "the store is down");
}

}  // namespace

void FakeKeyValueStore::SetDown(bool down) {
  absl::MutexLock lock(&mutex_);
  down_ = down;
}

void FakeKeyValueStore::QueueWriteFault(WriteFault fault) {
  absl::MutexLock lock(&mutex_);
  faults_.push_back(fault);
}

void FakeKeyValueStore::BeforeNextWrite(std::function<void()> action) {
  absl::MutexLock lock(&mutex_);
  before_write_ = std::move(action);
}

std::map<std::string, VersionedValue> FakeKeyValueStore::Snapshot() const {
  absl::MutexLock lock(&mutex_);
  std::map<std::string, VersionedValue> copy;
  for (const auto& [key, entry] : keys_) {
    copy[key] = entry.versioned;
  }
  return copy;
}

void FakeKeyValueStore::Restore(
    const std::map<std::string, VersionedValue>& keys) {
  absl::MutexLock lock(&mutex_);
  keys_.clear();
  for (const auto& [key, versioned] : keys) {
    keys_[key] = Entry{versioned, 0};
  }
}

void FakeKeyValueStore::ExpireLease(LeaseId lease) {
  absl::MutexLock lock(&mutex_);
  leases_.erase(lease);
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (it->second.lease == lease) {
      deleted_[it->first] = ++revision_;
      it = keys_.erase(it);
    } else {
      ++it;
    }
  }
}

uint64_t FakeKeyValueStore::calls() const {
  absl::MutexLock lock(&mutex_);
  return calls_;
}

uint64_t FakeKeyValueStore::writes() const {
  absl::MutexLock lock(&mutex_);
  return writes_;
}

FakeKeyValueStore::WriteFault FakeKeyValueStore::TakeFault() {
  if (faults_.empty()) {
    return WriteFault::kNone;
  }
  const WriteFault fault = faults_.front();
  faults_.pop_front();
  return fault;
}

void FakeKeyValueStore::RunBeforeWrite() {
  std::function<void()> action;
  {
    absl::MutexLock lock(&mutex_);
    std::swap(action, before_write_);
  }
  if (action) {
    action();
  }
}

Result<std::optional<VersionedValue>> FakeKeyValueStore::Get(
    absl::string_view key,
    std::chrono::milliseconds /*timeout*/) {
  absl::MutexLock lock(&mutex_);
  ++calls_;
  if (down_) {
    return Down("kv.get");
  }
  auto it = keys_.find(key);
  if (it == keys_.end()) {
    return std::optional<VersionedValue>();
  }
  return std::optional<VersionedValue>(it->second.versioned);
}

Result<uint64_t> FakeKeyValueStore::CompareAndSwap(
    absl::string_view key,
    uint64_t expected_revision,
    absl::string_view value,
    std::chrono::milliseconds /*timeout*/,
    LeaseId lease) {
  RunBeforeWrite();
  absl::MutexLock lock(&mutex_);
  ++calls_;
  ++writes_;
  if (down_) {
    return Down("kv.compare_and_swap");
  }
  if (value.size() > kMaxValueBytes) {
    return Fail(ErrorCode::kInvalid, "kv.compare_and_swap", kPeer,
                "value too large");
  }
  if (lease != 0 && leases_.count(lease) == 0) {
    return Fail(ErrorCode::kNotFound, "kv.compare_and_swap", kPeer,
                "lease lapsed");
  }
  const WriteFault fault = TakeFault();
  if (fault == WriteFault::kRequestLost) {
    return Fail(ErrorCode::kUnknownOutcome, "kv.compare_and_swap", kPeer,
                "answer lost");
  }
  auto it = keys_.find(key);
  const uint64_t current =
      it == keys_.end() ? 0 : it->second.versioned.revision;
  if (current != expected_revision) {
    return Fail(ErrorCode::kConflict, "kv.compare_and_swap", kPeer,
                "revision mismatch");
  }
  const uint64_t revision = ++revision_;
  keys_[std::string(key)] =
      Entry{VersionedValue{std::string(value), revision}, lease};
  if (fault == WriteFault::kAnswerLost) {
    return Fail(ErrorCode::kUnknownOutcome, "kv.compare_and_swap", kPeer,
                "answer lost");
  }
  return revision;
}

Result<void> FakeKeyValueStore::CompareAndDelete(
    absl::string_view key,
    uint64_t expected_revision,
    std::chrono::milliseconds /*timeout*/) {
  RunBeforeWrite();
  absl::MutexLock lock(&mutex_);
  ++calls_;
  ++writes_;
  if (down_) {
    return Down("kv.compare_and_delete");
  }
  const WriteFault fault = TakeFault();
  if (fault == WriteFault::kRequestLost) {
    return Fail(ErrorCode::kUnknownOutcome, "kv.compare_and_delete", kPeer,
                "answer lost");
  }
  auto it = keys_.find(key);
  if (it == keys_.end() || it->second.versioned.revision != expected_revision) {
    return Fail(ErrorCode::kConflict, "kv.compare_and_delete", kPeer,
                "revision mismatch");
  }
  deleted_[it->first] = ++revision_;
  keys_.erase(it);
  if (fault == WriteFault::kAnswerLost) {
    return Fail(ErrorCode::kUnknownOutcome, "kv.compare_and_delete", kPeer,
                "answer lost");
  }
  return {};
}

Result<std::vector<KeyValue>> FakeKeyValueStore::List(
    absl::string_view prefix,
    std::chrono::milliseconds /*timeout*/) {
  absl::MutexLock lock(&mutex_);
  ++calls_;
  if (down_) {
    return Down("kv.list");
  }
  std::vector<KeyValue> found;
  for (auto it = keys_.lower_bound(prefix);
       it != keys_.end() && absl::StartsWith(it->first, prefix); ++it) {
    found.push_back(KeyValue{it->first, it->second.versioned});
  }
  return found;
}

std::vector<KeyValue> FakeKeyValueStore::ChangesAfter(absl::string_view prefix,
                                                      uint64_t revision) const {
  std::vector<KeyValue> changes;
  for (const auto& [key, entry] : keys_) {
    if (absl::StartsWith(key, prefix) && entry.versioned.revision > revision) {
      changes.push_back(KeyValue{key, entry.versioned});
    }
  }
  for (const auto& [key, deleted_at] : deleted_) {
    if (absl::StartsWith(key, prefix) && deleted_at > revision &&
        keys_.find(key) == keys_.end()) {
      changes.push_back(KeyValue{key, VersionedValue{"", deleted_at}});
    }
  }
  return changes;
}

Result<WatchResult> FakeKeyValueStore::Watch(absl::string_view prefix,
                                             uint64_t after_revision,
                                             std::chrono::milliseconds wait) {
  absl::MutexLock lock(&mutex_);
  ++calls_;
  const auto ready = [this, prefix, after_revision]() {
    mutex_.AssertHeld();
    return down_ || !ChangesAfter(prefix, after_revision).empty();
  };
  mutex_.AwaitWithTimeout(absl::Condition(&ready), absl::FromChrono(wait));
  if (down_) {
    return Down("kv.watch");
  }
  return WatchResult{ChangesAfter(prefix, after_revision), revision_};
}

Result<LeaseId> FakeKeyValueStore::GrantLease(
    std::chrono::milliseconds /*ttl*/,
    std::chrono::milliseconds /*timeout*/) {
  absl::MutexLock lock(&mutex_);
  ++calls_;
  if (down_) {
    return Down("kv.grant_lease");
  }
  leases_[++last_lease_] = true;
  return last_lease_;
}

Result<void> FakeKeyValueStore::KeepLeaseAlive(
    LeaseId lease,
    std::chrono::milliseconds /*timeout*/) {
  absl::MutexLock lock(&mutex_);
  ++calls_;
  if (down_) {
    return Down("kv.keep_lease_alive");
  }
  if (leases_.count(lease) == 0) {
    return Fail(ErrorCode::kNotFound, "kv.keep_lease_alive", kPeer,
                "lease lapsed");
  }
  return {};
}

}  // namespace figflow::test
