#include "Maintenance/wave_store.h"

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
    : project_(project),
      client_(store,
              absl::StrCat("wave/", project.value()),
              std::move(writer),
              EmptyDocument(project),
              {&ParseWaveDocument, &FormatWaveDocument},
              timeout) {}

Result<WaveStore::Versioned> WaveStore::WriteOnce(const Versioned& base,
                                                  WaveDocument next) const {
  next.write_id = client_.NewWriteId();
  return client_.Write(base.revision, std::move(next));
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
