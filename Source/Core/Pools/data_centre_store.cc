#include "Pools/data_centre_store.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

DataCentreDocument EmptyDocument(const DataCentreId& data_centre) {
  DataCentreDocument document;
  document.data_centre = data_centre;
  return document;
}

bool Names(const EntryMembership& entries, const EntryId& entry) {
  for (const auto* list :
       {&entries.previous, &entries.current, &entries.joining}) {
    for (const EntryMember& member : *list) {
      if (member.id == entry) {
        return true;
      }
    }
  }
  return false;
}

bool SameText(absl::string_view stored, absl::string_view written) {
  return stored == written;
}

}  // namespace

DataCentreStore::DataCentreStore(KeyValueStore& store,
                                 const DataCentreId& data_centre,
                                 std::string writer,
                                 std::chrono::milliseconds timeout)
    : store_(store),
      confirm_prefix_(absl::StrCat("confirm/", data_centre.value(), "/")),
      timeout_(timeout),
      client_(store,
              absl::StrCat("dc/", data_centre.value()),
              std::move(writer),
              EmptyDocument(data_centre),
              {&ParseDataCentreDocument, &FormatDataCentreDocument},
              timeout) {}

std::optional<DataCentreDocument> DataCentreStore::Current() const {
  absl::MutexLock lock(&mutex_);
  return cached_ ? std::make_optional(cached_->document) : std::nullopt;
}

std::optional<DataCentreStore::Versioned> DataCentreStore::CurrentVersioned()
    const {
  absl::MutexLock lock(&mutex_);
  return cached_;
}

bool DataCentreStore::StoreIsBehind() const {
  absl::MutexLock lock(&mutex_);
  return store_is_behind_;
}

DataCentreStore::Versioned DataCentreStore::UpdateCached(Versioned read) {
  absl::MutexLock lock(&mutex_);
  store_is_behind_ = cached_ && read.document.change < cached_->document.change;
  if (store_is_behind_) {
    cached_->revision = read.revision;
    return *cached_;
  }
  cached_ = read;
  return read;
}

Result<DataCentreStore::Versioned> DataCentreStore::Read() {
  Result<Versioned> read = client_.Read();
  if (!read) {
    return read;
  }
  return UpdateCached(std::move(*read));
}

Result<void> DataCentreStore::Refresh() {
  const Result<Versioned> read = Read();
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  return {};
}

Result<bool> DataCentreStore::Watch(std::chrono::milliseconds wait) {
  uint64_t after = 0;
  {
    absl::MutexLock lock(&mutex_);
    after = watched_revision_;
  }
  const Result<WatchResult> result = store_.Watch(client_.key(), after, wait);
  if (!result) {
    return tl::unexpected<Error>(result.error());
  }
  bool changed = false;
  for (const KeyValue& change : result->changes) {
    // The watched prefix also matches keys of data centres with a longer name.
    if (change.key != client_.key() || change.versioned.value.empty()) {
      continue;
    }
    Result<DataCentreDocument> document =
        ParseDataCentreDocument(change.versioned.value);
    if (!document) {
      return tl::unexpected<Error>(document.error());
    }
    absl::MutexLock lock(&mutex_);
    // An older document is ignored: only a read can distinguish a restored
    // store from a delayed response.
    if (!cached_ || document->change > cached_->document.change) {
      cached_ = Versioned{std::move(*document), change.versioned.revision};
      changed = true;
    }
  }
  absl::MutexLock lock(&mutex_);
  watched_revision_ = result->revision;
  return changed;
}

Result<DataCentreDocument> DataCentreStore::Update(const Change& change) {
  Result<Versioned> written = client_.Update(
      [this] { return Read(); },
      [this, &change](DataCentreDocument& next,
                      const std::string& write_id) -> Result<bool> {
        Result<bool> changed = change(next, write_id);
        if (!changed) {
          return changed;
        }
        ++next.change;
        return *changed || StoreIsBehind();
      });
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  return UpdateCached(std::move(*written)).document;
}

Result<DataCentreStore::Versioned> DataCentreStore::WriteOnce(
    const Versioned& base,
    DataCentreDocument next) {
  next.write_id = client_.NewWriteId();
  ++next.change;
  Result<Versioned> written = client_.Write(base.revision, std::move(next));
  if (written) {
    UpdateCached(*written);
  }
  return written;
}

Result<Confirmations> DataCentreStore::ReadConfirmations() {
  const Result<std::vector<KeyValue>> listed =
      store_.List(confirm_prefix_, timeout_);
  if (!listed) {
    return tl::unexpected<Error>(listed.error());
  }
  Confirmations confirmations;
  for (const KeyValue& entry : *listed) {
    Result<Confirmation> confirmation =
        ParseConfirmation(entry.versioned.value);
    if (confirmation &&
        entry.key == confirm_prefix_ + confirmation->entry.value()) {
      confirmations[confirmation->entry] = std::move(*confirmation);
    }
  }
  return confirmations;
}

Result<int> DataCentreStore::PruneConfirmations() {
  // The confirmations are listed before the document is read. An entry instance
  // joins before it confirms, so the document contains every entry whose
  // confirmation is listed, unless it is no longer a member.
  const Result<std::vector<KeyValue>> listed =
      store_.List(confirm_prefix_, timeout_);
  if (!listed) {
    return tl::unexpected<Error>(listed.error());
  }
  const Result<Versioned> read = Read();
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  int pruned = 0;
  for (const KeyValue& entry : *listed) {
    const EntryId id(entry.key.substr(confirm_prefix_.size()));
    if (Names(read->document.entries, id)) {
      continue;
    }
    const Result<void> deleted =
        store_.CompareAndDelete(entry.key, entry.versioned.revision, timeout_);
    // A conflict means that the entry instance has joined again.
    pruned += deleted ? 1 : 0;
  }
  return pruned;
}

Result<void> DataCentreStore::WriteConfirmation(
    const Confirmation& confirmation) {
  const std::string key = confirm_prefix_ + confirmation.entry.value();
  const Result<std::optional<VersionedValue>> stored =
      store_.Get(key, timeout_);
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  if (*stored) {
    const Result<Confirmation> old = ParseConfirmation((*stored)->value);
    if (old && old->incarnation > confirmation.incarnation) {
      return Fail(ErrorCode::kConflict, "pools.confirm",
                  confirmation.entry.value(),
                  "a newer incarnation of this entry instance has written its "
                  "confirmation");
    }
  }
  const Result<uint64_t> written = CompareAndSwapSettled(
      store_, key, *stored ? (*stored)->revision : 0,
      FormatConfirmation(confirmation), timeout_, SameText);
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  return {};
}

}  // namespace figflow
