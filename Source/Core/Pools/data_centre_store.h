#ifndef POOLS_DATA_CENTRE_STORE_H_
#define POOLS_DATA_CENTRE_STORE_H_

#include <chrono>
#include <optional>
#include <string>

#include "Common/error.h"
#include "Common/strong_id.h"
#include "Platform/document_client.h"
#include "Platform/key_value_store.h"
#include "Pools/data_centre_document.h"
#include "Pools/membership.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

// Reads and writes the document of one data centre and its confirmations in the
// key-value store. Caches the newest document, which stays valid while the
// store is unavailable. If the store holds an older document (because it was
// restored from a copy), the cached one is kept, and the next update writes it
// back. Thread-safe; no lock is held while waiting for the store.
class DataCentreStore {
 public:
  using Change = DocumentClient<DataCentreDocument>::Change;

  // `writer` is unique among processes, such as "<entry>/<incarnation>".
  DataCentreStore(KeyValueStore& store,
                  const DataCentreId& data_centre,
                  std::string writer,
                  std::chrono::milliseconds timeout);

  // Returns the cached document; nullopt before the first successful read.
  std::optional<DataCentreDocument> Current() const;

  // Returns true if the last document read from the store is older than the
  // cached one.
  bool StoreIsBehind() const;

  // Reads the document from the store.
  Result<void> Refresh();

  // Waits at most `wait` for a change of the document. Returns whether a newer
  // document was received.
  Result<bool> Watch(std::chrono::milliseconds wait);

  // Applies `change` to the document and writes it by compare-and-swap, with
  // retries; see DocumentClient::Update.
  Result<DataCentreDocument> Update(const Change& change);

  // The cached document with its store revision, as base of WriteOnce; nullopt
  // before the first successful read.
  using Versioned = VersionedDocument<DataCentreDocument>;
  std::optional<Versioned> CurrentVersioned() const;
  // Replaces exactly the document `base`; kConflict if it was changed in the
  // meantime. Returns the base of the next write.
  Result<Versioned> WriteOnce(const Versioned& base, DataCentreDocument next);

  // Reads the confirmations of all entry instances of the data centre. One that
  // cannot be parsed counts as missing.
  Result<Confirmations> ReadConfirmations();

  // Deletes the confirmations of entry instances that the document no longer
  // contains. Returns the number of deleted confirmations.
  Result<int> PruneConfirmations();

  // Writes the confirmation of an entry. kConflict if a newer incarnation of
  // the entry has written one.
  Result<void> WriteConfirmation(const Confirmation& confirmation);

 private:
  // Caches a document read from the store unless the cached one is newer.
  // Returns the cached document, with the store revision that was read.
  Versioned UpdateCached(Versioned read);
  Result<Versioned> Read();

  KeyValueStore& store_;
  const std::string confirm_prefix_;
  const std::chrono::milliseconds timeout_;
  const DocumentClient<DataCentreDocument> client_;
  mutable absl::Mutex mutex_;
  std::optional<Versioned> cached_ ABSL_GUARDED_BY(mutex_);
  bool store_is_behind_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t watched_revision_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace figflow

#endif  // POOLS_DATA_CENTRE_STORE_H_
