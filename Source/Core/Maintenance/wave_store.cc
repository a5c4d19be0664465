#include "Maintenance/wave_store.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

WaveDocument EmptyDocument(const ProjectId& project) {
  WaveDocument document;
  document.project = project;
  return document;
}

}  // namespace

WaveStore::WaveStore(KeyValueStore& store,
                     const ProjectId& project,
                     std::string writer,
                     std::chrono::milliseconds timeout)
    : store_(store),
      project_(project),
      client_(store,
              absl::StrCat("wave/", project.value()),
              std::move(writer),
              EmptyDocument(project),
              {&ParseWaveDocument, &FormatWaveDocument},
              timeout) {}

Result<WaveStore::Versioned> WaveStore::ReadChanged() {
  if (cached_) {
    const Result<WatchResult> watched = store_.Watch(
        client_.key(), cached_->revision, std::chrono::milliseconds(0));
    if (!watched) {
      return tl::unexpected<Error>(watched.error());
    }
    // The prefix also matches keys of projects with a longer name.
    const bool changed = std::any_of(
        watched->changes.begin(), watched->changes.end(),
        [&](const KeyValue& change) { return change.key == client_.key(); });
    if (!changed) {
      return *cached_;
    }
    cached_.reset();
  }
  Result<Versioned> read = client_.Read();
  if (read && read->revision != 0) {
    cached_ = *read;
  }
  return read;
}

Result<WaveStore::Versioned> WaveStore::WriteOnce(const Versioned& base,
                                                  WaveDocument next) {
  next.write_id = client_.NewWriteId();
  Result<Versioned> written = client_.Write(base.revision, std::move(next));
  // After a conflict the document is read in full: a restored store may hold a
  // lower revision, which a watch does not report.
  cached_.reset();
  if (written) {
    cached_ = *written;
  }
  return written;
}

Result<void> WaveStore::Change(
    const DocumentClient<WaveDocument>::Change& change) const {
  const Result<Versioned> written = client_.Update(change);
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  return {};
}

Result<void> WaveStore::Start(
    const std::string& rollout,
    const std::vector<RolloutInstance>& instances) const {
  return Change([&](WaveDocument& document, const std::string&) {
    return StartRollout(document, rollout, instances);
  });
}

Result<void> WaveStore::Pause() const {
  return Change([](WaveDocument& document, const std::string&) {
    return PauseRollout(document);
  });
}

Result<void> WaveStore::Resume() const {
  return Change([](WaveDocument& document, const std::string&) {
    return ResumeRollout(document);
  });
}

}  // namespace figflow
