#include "FleetConfig/config_store.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <utility>

#include "Common/log.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

// Steps kept for peers; a peer further behind gets the whole configuration.
constexpr size_t kMaxHistorySteps = 256;
constexpr size_t kMaxHistoryBytes = 262'144;
// A synchronisation repeats when the head changes while it runs.
constexpr int kMaxRounds = 5;
constexpr milliseconds kSyncTimeout{3'000};

constexpr const char* kOutcomeNames[] = {"applied", "known", "gap", "refused"};

std::string Labelled(absl::string_view name,
                     absl::string_view label,
                     absl::string_view value) {
  return absl::StrCat("figflow_config_", name, "_total{", label, "=\"", value,
                      "\"}");
}

bool IsApplyId(absl::string_view id) {
  constexpr size_t max_bytes = 64;
  return !id.empty() && id.size() <= max_bytes &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

}  // namespace

ConfigStore::ConfigStore(KeyValueStore& store,
                         const Clock& clock,
                         MetricsRegistry& metrics,
                         ConfigStoreOptions options)
    : store_(store),
      clock_(clock),
      metrics_(metrics),
      options_(options),
      started_at_(clock.Now()),
      heads_(store, clock),
      in_force_(
          std::make_shared<const FleetConfiguration>(EmptyConfiguration())),
      next_check_(started_at_) {}

ConfigStore::~ConfigStore() {
  Stop();
}

void ConfigStore::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ConfigStore::Stop() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ConfigStore::Run() {
  for (;;) {
    const bool failed = !SyncOnce(options_.watch_wait);
    absl::MutexLock lock(&mutex_);
    if (failed) {
      mutex_.AwaitWithTimeout(absl::Condition(&stopping_),
                              absl::FromChrono(options_.retry_delay));
    }
    if (stopping_) {
      return;
    }
  }
}

Result<void> ConfigStore::SyncOnce(milliseconds wait) {
  const MonoTime now = clock_.Now();
  if (now >= next_check_) {
    const auto synced = Synchronise(now + kSyncTimeout, nullptr);
    if (!synced) {
      return tl::unexpected<Error>(synced.error());
    }
    next_check_ = now + options_.check_interval;
  }
  const auto watched = store_.Watch(kHeadKey, watch_revision_, wait);
  if (!watched) {
    NoteStore(&watched.error());
    // What happened meanwhile is unknown.
    next_check_ = now;
    return tl::unexpected<Error>(watched.error());
  }
  watch_revision_ = watched->revision;
  for (const KeyValue& change : watched->changes) {
    if (change.key != kHeadKey) {
      continue;
    }
    Result<StoredHead> stored =
        change.versioned.value.empty()
            ? Result<StoredHead>(StoredHead{EmptyHead(), 0})
            : ConfigHeadStore::Decode(change.versioned);
    const auto synced =
        stored ? Synchronise(clock_.Now() + kSyncTimeout, &*stored) : stored;
    if (!synced) {
      NoteStore(&synced.error());
      next_check_ = now;
      return tl::unexpected<Error>(synced.error());
    }
  }
  return {};
}

std::shared_ptr<const FleetConfiguration> ConfigStore::InForce() const {
  absl::MutexLock lock(&mutex_);
  return in_force_;
}

Result<StoredHead> ConfigStore::Synchronise(MonoTime deadline,
                                            const StoredHead* known) {
  Error last{ErrorCode::kUnavailable, "config.synchronise", "",
             "the head keeps changing"};
  // Key revision of a head that was seen to be behind.
  std::optional<uint64_t> behind;
  for (int round = 0; round < kMaxRounds; ++round) {
    Result<StoredHead> stored =
        known != nullptr ? Result<StoredHead>(*known) : heads_.Read(deadline);
    known = nullptr;
    if (!stored) {
      NoteStore(&stored.error());
      return stored;
    }
    const auto in_force = InForce();
    const HeadAction action = DecideHead(*in_force, stored->head);
    if (action == HeadAction::kStoreBehind) {
      // A second read tells a restored store from a stale answer. If both are
      // stale, the write fails on the key's revision.
      if (behind == stored->key_revision) {
        Heal(*stored, deadline);
        behind.reset();
      } else {
        behind = stored->key_revision;
      }
      continue;
    }
    if (action == HeadAction::kDiverged) {
      NoteDivergence(*in_force, stored->head.hash);
    } else if (action != HeadAction::kNone) {
      if (const auto adopted = AdoptFrom(*stored, action, deadline); !adopted) {
        last = adopted.error();
        continue;
      }
    }
    NoteStore(nullptr);
    return stored;
  }
  NoteStore(&last);
  return tl::unexpected<Error>(last);
}

Result<void> ConfigStore::AdoptFrom(const StoredHead& stored,
                                    HeadAction action,
                                    MonoTime deadline) {
  Result<FleetConfiguration> next =
      action == HeadAction::kAdvance
          ? AdvanceBySteps(*InForce(), stored.head.steps)
          : heads_.Load(stored.head, deadline);
  if (!next && action == HeadAction::kAdvance) {
    next = heads_.Load(stored.head, deadline);
  }
  if (!next) {
    return tl::unexpected<Error>(next.error());
  }
  Adopt(std::move(*next), stored.head.steps, "store");
  return {};
}

void ConfigStore::Heal(const StoredHead& stored, MonoTime deadline) {
  const auto in_force = InForce();
  // Several daemons heal at once; each needs a key of its own.
  const std::string nonce =
      absl::StrCat("healed-", absl::Hex(reinterpret_cast<uintptr_t>(this)), "-",
                   clock_.WallNow().time_since_epoch().count());
  const HeadDocument head = RebuiltHead(*in_force, nonce);
  if (!heads_.WriteSnapshot(head.snapshot_key, *in_force, deadline)) {
    return;
  }
  const auto written = heads_.WriteHead(head, stored.key_revision, deadline);
  if (!written) {
    if (written.error().code == ErrorCode::kConflict) {
      heads_.DeleteSnapshot(head.snapshot_key, deadline);
    }
    return;
  }
  const Result<StoredHead> read = heads_.Read(deadline);
  if (read && read->head.snapshot_key != head.snapshot_key) {
    // Another daemon healed the store first.
    heads_.DeleteSnapshot(head.snapshot_key, deadline);
    return;
  }
  metrics_.GetCounter("figflow_config_healed_total").Add();
  LogEvent(LogLevel::kWarning, LogCategory::kConfig, "store-healed",
           {{"stored_revision", absl::StrCat(stored.head.revision)},
            {"revision", absl::StrCat(in_force->revision)}});
}

bool ConfigStore::Adopt(FleetConfiguration next,
                        const std::vector<ConfigStep>& steps,
                        absl::string_view source) {
  const uint64_t revision = next.revision;
  const std::string apply_id = next.apply_id;
  {
    absl::MutexLock lock(&mutex_);
    if (revision <= in_force_->revision) {
      return false;
    }
    in_force_ = std::make_shared<const FleetConfiguration>(std::move(next));
    diverged_revision_ = 0;
    Remember(steps);
  }
  metrics_.GetCounter(Labelled("adopted", "source", source)).Add();
  LogEvent(LogLevel::kInfo, LogCategory::kConfig, "in-force",
           {{"revision", absl::StrCat(revision)},
            {"apply_id", apply_id},
            {"source", std::string(source)}});
  if (on_change_) {
    on_change_();
  }
  return true;
}

void ConfigStore::Remember(const std::vector<ConfigStep>& steps) {
  const auto clear = [this]() {
    mutex_.AssertHeld();
    history_.clear();
    history_bytes_ = 0;
  };
  for (const ConfigStep& step : steps) {
    if (!history_.empty() && step.revision <= history_.back().revision) {
      continue;
    }
    if (!history_.empty() && (step.revision != history_.back().revision + 1 ||
                              step.base_hash != history_.back().hash)) {
      clear();
    }
    history_bytes_ += EncodedSize(step);
    history_.push_back(step);
  }
  if (!history_.empty() && (history_.back().revision != in_force_->revision ||
                            history_.back().hash != in_force_->hash)) {
    clear();
  }
  while (history_.size() > kMaxHistorySteps ||
         history_bytes_ > kMaxHistoryBytes) {
    history_bytes_ -= EncodedSize(history_.front());
    history_.pop_front();
  }
}

Result<ApplyOutcome> ConfigStore::Apply(const ApplyRequest& request,
                                        milliseconds timeout) {
  if (!IsApplyId(request.apply_id)) {
    return Fail(ErrorCode::kInvalid, "config.apply", "",
                "the apply id must have 1 to 64 letters, digits, '-' or '_'");
  }
  Result<ApplyOutcome> outcome = ApplyPlanned(request, clock_.Now() + timeout);
  const absl::string_view result =
      outcome ? "ok" : ErrorCodeName(outcome.error().code);
  metrics_.GetCounter(Labelled("applies", "result", result)).Add();
  LogEvent(LogLevel::kInfo, LogCategory::kConfig, "apply",
           {{"apply_id", request.apply_id},
            {"base_revision", absl::StrCat(request.sheet.base_revision)},
            {"result", std::string(result)}});
  return outcome;
}

Result<ApplyOutcome> ConfigStore::ApplyPlanned(const ApplyRequest& request,
                                               MonoTime deadline) {
  const Result<StoredHead> stored = Synchronise(deadline, nullptr);
  if (!stored) {
    return Fail(stored.error().code, "config.apply", stored.error().peer,
                absl::StrCat("the stored configuration was not read, nothing "
                             "was changed: ",
                             stored.error().message));
  }
  // A starting daemon may not know yet of revisions that a restored store lost.
  if (const std::string reason = NotReadyReason(); !reason.empty()) {
    return Fail(ErrorCode::kUnavailable, "config.apply", "",
                absl::StrCat("this daemon is starting: ", reason));
  }
  Result<ApplyPlan> plan =
      PlanApply(*InForce(), *stored, View().highest_peer_revision, request,
                clock_.WallNow());
  if (!plan) {
    return tl::unexpected<Error>(plan.error());
  }
  if (plan->settled_revision) {
    return ApplyOutcome{*plan->settled_revision, {}};
  }
  if (plan->needs_snapshot) {
    if (const auto written =
            heads_.WriteSnapshot(plan->head.snapshot_key, plan->next, deadline);
        !written) {
      return tl::unexpected<Error>(written.error());
    }
  }
  const auto written =
      heads_.WriteHead(plan->head, stored->key_revision, deadline);
  if (!written) {
    if (written.error().code == ErrorCode::kConflict) {
      if (plan->needs_snapshot) {
        heads_.DeleteSnapshot(plan->head.snapshot_key, deadline);
      }
      (void)Synchronise(deadline, nullptr);
    }
    return tl::unexpected<Error>(written.error());
  }
  const uint64_t revision = plan->next.revision;
  Adopt(std::move(plan->next), {plan->step}, "store");
  if (peers_ != nullptr) {
    peers_->PushConfig(EncodeSteps({plan->step}));
  }
  if (plan->needs_snapshot && !stored->head.snapshot_key.empty()) {
    heads_.DeleteSnapshot(stored->head.snapshot_key, deadline);
  }
  return ApplyOutcome{revision, std::move(plan->diff)};
}

SheetDiff ConfigStore::Diff(const SheetDocument& sheet) const {
  return DiffRows(InForce()->rows, sheet.rows);
}

DeltaOutcome ConfigStore::OnDelta(const ConfigDelta& delta) {
  const DeltaOutcome outcome = TakeDelta(delta);
  metrics_
      .GetCounter(Labelled("deltas", "outcome",
                           kOutcomeNames[static_cast<size_t>(outcome)]))
      .Add();
  return outcome;
}

DeltaOutcome ConfigStore::TakeDelta(const ConfigDelta& delta) {
  if (delta.payload.empty()) {
    return DeltaOutcome::kKnown;
  }
  Result<PeerPayload> payload = DecodePayload(delta.payload);
  if (!payload) {
    return DeltaOutcome::kRefused;
  }
  const auto in_force = InForce();
  if (payload->whole) {
    if (payload->whole->revision == in_force->revision &&
        payload->whole->hash != in_force->hash) {
      NoteDivergence(*in_force, payload->whole->hash);
    }
    return Adopt(std::move(*payload->whole), {}, "peer")
               ? DeltaOutcome::kApplied
               : DeltaOutcome::kKnown;
  }
  Result<FleetConfiguration> next = AdvanceBySteps(*in_force, payload->steps);
  if (!next) {
    const bool gap = next.error().code == ErrorCode::kConflict;
    if (gap && payload->steps.front().revision <= in_force->revision + 1) {
      NoteDivergence(*in_force, payload->steps.front().base_hash);
    }
    return gap ? DeltaOutcome::kGap : DeltaOutcome::kRefused;
  }
  return Adopt(std::move(*next), payload->steps, "peer")
             ? DeltaOutcome::kApplied
             : DeltaOutcome::kKnown;
}

ConfigDelta ConfigStore::Pull(uint64_t revision) const {
  absl::MutexLock lock(&mutex_);
  if (revision >= in_force_->revision) {
    return ConfigDelta{in_force_->revision, in_force_->revision, ""};
  }
  if (revision == 0 || history_.empty() ||
      history_.front().revision > revision + 1) {
    return EncodeWhole(*in_force_);
  }
  const auto first =
      history_.begin() +
      static_cast<ptrdiff_t>(revision + 1 - history_.front().revision);
  return EncodeSteps({first, history_.end()});
}

uint64_t ConfigStore::PullRevision() const {
  absl::MutexLock lock(&mutex_);
  return diverged_revision_ == in_force_->revision ? 0 : in_force_->revision;
}

void ConfigStore::NoteDivergence(const FleetConfiguration& in_force,
                                 absl::string_view other_hash) {
  {
    absl::MutexLock lock(&mutex_);
    if (diverged_revision_ == in_force.revision) {
      return;
    }
    diverged_revision_ = in_force.revision;
  }
  metrics_.GetCounter("figflow_config_diverged_total").Add();
  LogEvent(LogLevel::kError, LogCategory::kConfig, "diverged",
           {{"revision", absl::StrCat(in_force.revision)},
            {"hash", in_force.hash},
            {"other_hash", std::string(other_hash)}});
}

void ConfigStore::NoteStore(const Error* error) {
  if (error != nullptr) {
    metrics_.GetCounter("figflow_config_store_errors_total").Add();
  }
  absl::MutexLock lock(&mutex_);
  store_answered_ = store_answered_ || error == nullptr;
  store_error_ = error == nullptr ? "" : ToString(*error);
}

BootstrapView ConfigStore::View() const {
  BootstrapView view;
  const std::map<EntryId, PeerView> peers =
      peers_ == nullptr ? std::map<EntryId, PeerView>() : peers_->Peers();
  for (const auto& [id, peer] : peers) {
    // A peer that is gone must not hold up this daemon for ever.
    if (!peer.suspect) {
      ++view.peers_heard;
      view.highest_peer_revision =
          std::max(view.highest_peer_revision, peer.digest.config_revision);
    }
  }
  view.since_start =
      std::chrono::duration_cast<milliseconds>(clock_.Now() - started_at_);
  absl::MutexLock lock(&mutex_);
  view.store_answered = store_answered_;
  view.revision = in_force_->revision;
  return view;
}

std::string ConfigStore::NotReadyReason() {
  {
    absl::MutexLock lock(&mutex_);
    if (ready_) {
      return "";
    }
  }
  std::string blocker = BootstrapBlocker(View(), options_.bootstrap);
  absl::MutexLock lock(&mutex_);
  ready_ = ready_ || blocker.empty();
  return ready_ ? "" : blocker;
}

nlohmann::json ConfigStore::DumpState() const {
  nlohmann::json peers = nlohmann::json::object();
  nlohmann::json unconfirmed = nlohmann::json::array();
  const uint64_t revision = InForce()->revision;
  if (peers_ != nullptr) {
    for (const auto& [id, peer] : peers_->Peers()) {
      peers[id.value()] = peer.digest.config_revision;
      if (peer.digest.config_revision < revision) {
        unconfirmed.push_back(id.value());
      }
    }
  }
  absl::MutexLock lock(&mutex_);
  return {{"revision", in_force_->revision},
          {"hash", in_force_->hash},
          {"apply_id", in_force_->apply_id},
          {"applied_at_ms", SinceEpoch(in_force_->applied_at).count()},
          {"rows", in_force_->rows.size()},
          {"history_from", history_.empty() ? 0 : history_.front().revision},
          {"history_bytes", history_bytes_},
          {"store_answered", store_answered_},
          {"store_error", store_error_},
          {"diverged_revision", diverged_revision_},
          {"ready", ready_},
          {"peers", std::move(peers)},
          {"unconfirmed", std::move(unconfirmed)}};
}

}  // namespace figflow
