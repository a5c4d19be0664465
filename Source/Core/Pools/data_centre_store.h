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

// The document of one data centre and its confirmations in the key-value
// store. Keeps the last document seen, which stays valid while the store is
// down. A document older than that one (a store restored from a copy) is not
// taken over; the next update writes the known one back. Thread-safe; no lock
// is held during calls of the store.
class DataCentreStore {
 public:
  using Change = DocumentClient<DataCentreDocument>::Change;

  // `writer` is unique among processes, such as "<entry>/<incarnation>".
  DataCentreStore(KeyValueStore& store,
                  const DataCentreId& data_centre,
                  std::string writer,
                  std::chrono::milliseconds timeout);

  // The last document seen; nullopt before the first successful call.
  std::optional<DataCentreDocument> Current() const;

  // True if the store was seen to hold an older document than the known one.
  bool StoreIsBehind() const;

  // Reads the document from the store.
  Result<void> Refresh();

  // Waits at most `wait` for a change of the document. Returns whether a newer
  // document was seen.
  Result<bool> Watch(std::chrono::milliseconds wait);

  // Applies `change` by compare-and-swap until written; see
  // DocumentClient::Update.
  Result<DataCentreDocument> Update(const Change& change);

  // The last document seen with its store revision, as base of WriteOnce;
  // nullopt before the first successful call.
  using Versioned = VersionedDocument<DataCentreDocument>;
  std::optional<Versioned> CurrentVersioned() const;
  // Writes over exactly the document that was read; kConflict if another
  // write came in between. Returns the base of the next write.
  Result<Versioned> WriteOnce(const Versioned& base, DataCentreDocument next);

  // Confirmations of all entry instances of the data centre. One that cannot
  // be parsed counts as missing.
  Result<Confirmations> ReadConfirmations();

  // Deletes confirmations of entry instances that the document does not name
  // any more. Returns how many.
  Result<int> PruneConfirmations();

  // Writes the key of `confirmation.entry`. kConflict if a newer incarnation
  // wrote it.
  Result<void> WriteConfirmation(const Confirmation& confirmation);

 private:
  // Takes a document read from the store over, unless the known one is newer.
  // Returns the one to continue with.
  Versioned Adopt(Versioned read);
  Result<Versioned> Read();

  KeyValueStore& store_;
  const std::string confirm_prefix_;
  const std::chrono::milliseconds timeout_;
  const DocumentClient<DataCentreDocument> client_;
  mutable absl::Mutex mutex_;
  std::optional<Versioned> known_ ABSL_GUARDED_BY(mutex_);
  bool behind_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t watched_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace figflow

#endif  // POOLS_DATA_CENTRE_STORE_H_
