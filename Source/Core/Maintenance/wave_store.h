#ifndef MAINTENANCE_WAVE_STORE_H_
#define MAINTENANCE_WAVE_STORE_H_

#include <chrono>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/strong_id.h"
#include "Maintenance/wave_document.h"
#include "Maintenance/wave_planner.h"
#include "Platform/document_client.h"
#include "Platform/key_value_store.h"

namespace figflow {

// The wave document of one project in the key-value store, with the
// operators' verbs. Thread-safe.
class WaveStore {
 public:
  using Versioned = VersionedDocument<WaveDocument>;

  // `writer` is unique among processes, such as "<entry>/<incarnation>".
  WaveStore(KeyValueStore& store,
            const ProjectId& project,
            std::string writer,
            std::chrono::milliseconds timeout);

  Result<Versioned> Read() const { return client_.Read(); }

  // Writes over exactly the document that was read; kConflict if another write
  // came in between.
  Result<Versioned> WriteOnce(const Versioned& base, WaveDocument next) const;

  // See the functions in wave_planner.h.
  Result<void> Start(const std::string& rollout,
                     const std::vector<RolloutInstance>& instances) const;
  Result<void> Pause() const;
  Result<void> Resume() const;

  // An id that no other process and no other call returns.
  std::string NewId() const { return client_.NewWriteId(); }

  const ProjectId& project() const { return project_; }
  const std::string& writer() const { return client_.writer(); }

 private:
  Result<void> Change(const DocumentClient<WaveDocument>::Change& change) const;

  const ProjectId project_;
  const DocumentClient<WaveDocument> client_;
};

}  // namespace figflow

#endif  // MAINTENANCE_WAVE_STORE_H_
