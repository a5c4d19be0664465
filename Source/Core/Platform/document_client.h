#ifndef PLATFORM_DOCUMENT_CLIENT_H_
#define PLATFORM_DOCUMENT_CLIENT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "Common/error.h"
#include "Platform/key_value_store.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Writers of a document are few; more lost races than this in a row point to a
// fault, and the caller tries again in its next step.
inline constexpr int kUpdateAttempts = 8;

// A document and the store revision it was read at; 0 when the key is absent.
template <typename Document>
struct VersionedDocument {
  Document document;
  uint64_t revision = 0;
};

// Reads and changes one durable document by compare-and-swap. `Document` has a
// string member `write_id`, which every write replaces by a new id, so that
// reading back tells whether a write with a lost answer took effect.
// Thread-safe; blocks during calls of the store.
template <typename Document>
class DocumentClient {
 public:
  using Versioned = VersionedDocument<Document>;
  struct Codec {
    Result<Document> (*parse)(absl::string_view text);
    std::string (*format)(const Document& document);
  };
  // Changes the document; returns false when nothing needs a write. May run
  // several times and must be idempotent: after a lost answer followed by
  // another's write it runs on a document that already contains its effect.
  using Change = std::function<Result<bool>(Document& document,
                                            const std::string& write_id)>;

  // `writer` is unique among processes. `initial` stands for an absent key.
  DocumentClient(KeyValueStore& store,
                 std::string key,
                 std::string writer,
                 Document initial,
                 Codec codec,
                 std::chrono::milliseconds timeout)
      : store_(store),
        key_(std::move(key)),
        writer_(std::move(writer)),
        initial_(std::move(initial)),
        codec_(codec),
        timeout_(timeout) {}

  Result<Versioned> Read() const {
    Result<std::optional<VersionedValue>> value = store_.Get(key_, timeout_);
    if (!value) {
      return tl::unexpected<Error>(value.error());
    }
    if (!*value) {
      return Versioned{initial_, 0};
    }
    Result<Document> document = codec_.parse((*value)->value);
    if (!document) {
      return tl::unexpected<Error>(document.error());
    }
    return Versioned{std::move(*document), (*value)->revision};
  }

  // Writes once over `base_revision`. kConflict: another writer was first.
  Result<Versioned> Write(uint64_t base_revision, Document document) const {
    if (document.write_id.empty()) {
      document.write_id = NewWriteId();
    }
    // Two writes never have the same text, because it contains the write id.
    const Result<uint64_t> revision = CompareAndSwapSettled(
        store_, key_, base_revision, codec_.format(document), timeout_,
        [](absl::string_view stored, absl::string_view written) {
          return stored == written;
        });
    if (!revision) {
      return tl::unexpected<Error>(revision.error());
    }
    return Versioned{std::move(document), *revision};
  }

  // Applies `change` to the latest document until it is written. An unknown
  // outcome is retried as well: the retry expects the same store revision, so
  // at most one of the two writes takes effect.
  Result<Versioned> Update(const Change& change) const {
    return Update([this] { return Read(); }, change);
  }

  template <typename Reader>
  Result<Versioned> Update(const Reader& read, const Change& change) const {
    Error last;
    for (int attempt = 0; attempt < kUpdateAttempts; ++attempt) {
      Result<Versioned> current = read();
      if (!current) {
        return current;
      }
      Document next = current->document;
      next.write_id = NewWriteId();
      Result<bool> changed = change(next, next.write_id);
      if (!changed) {
        return tl::unexpected<Error>(changed.error());
      }
      if (!*changed) {
        return current;
      }
      Result<Versioned> written = Write(current->revision, std::move(next));
      if (written || (written.error().code != ErrorCode::kConflict &&
                      written.error().code != ErrorCode::kUnknownOutcome)) {
        return written;
      }
      last = written.error();
    }
    return tl::unexpected<Error>(std::move(last));
  }

  std::string NewWriteId() const {
    static std::atomic<uint64_t> next{0};
    return absl::StrCat(writer_, "/", next.fetch_add(1) + 1);
  }

  const std::string& key() const { return key_; }
  const std::string& writer() const { return writer_; }

 private:
  KeyValueStore& store_;
  const std::string key_;
  const std::string writer_;
  const Document initial_;
  const Codec codec_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace figflow

#endif  // PLATFORM_DOCUMENT_CLIENT_H_
