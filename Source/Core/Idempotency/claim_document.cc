#include "Idempotency/claim_document.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include <openssl/evp.h>
#include "Common/json.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr char kStep[] = "claims.parse";
// "<22 characters>":[<10>,<20>,<10>], with quotes, brackets and commas.
constexpr size_t kMaxClaimBytes = 72;
// A writer's id, its numbers and punctuation.
constexpr size_t kMaxWriterBytes = 64;
constexpr size_t kFrameBytes = 64;

tl::unexpected<Error> Malformed(absl::string_view what) {
  return Fail(ErrorCode::kInvalid, kStep, "",
              absl::StrCat("claim document: ", what));
}

bool IsUnsignedTriple(const json& value) {
  return value.is_array() && value.size() == 3 &&
         std::all_of(value.begin(), value.end(),
                     [](const json& v) { return v.is_number_unsigned(); });
}

bool IsWriter(const json& value) {
  return value.is_array() && value.size() == 3 && value[0].is_string() &&
         value[1].is_number_unsigned() && value[2].is_string();
}

}  // namespace

ClaimDigest DigestOf(const ProjectId& scope, absl::string_view key) {
  // The length keeps ("a", "bc") and ("ab", "c") apart.
  const std::string text =
      absl::StrCat(scope.value().size(), ":", scope.value(), key);
  std::array<unsigned char, EVP_MAX_MD_SIZE> hash{};
  EVP_Digest(text.data(), text.size(), hash.data(), nullptr, EVP_sha256(),
             nullptr);
  ClaimDigest digest;
  std::copy_n(hash.begin(), digest.size(), digest.begin());
  return digest;
}

Result<ClaimDocument> ClaimDocument::Parse(absl::string_view text) {
  const json root = json::parse(text.begin(), text.end(), nullptr, false);
  if (!root.is_object() || !root.contains("v") || root["v"] != kVersion) {
    return Malformed("not an object of version 1");
  }
  if (!root.contains("w") || !root["w"].is_array() || !root.contains("c") ||
      !root["c"].is_object()) {
    return Malformed("writers or claims are missing");
  }
  ClaimDocument document;
  for (const json& writer : root["w"]) {
    if (!IsWriter(writer)) {
      return Malformed("bad writer");
    }
    document.writers_.push_back(ClaimWriter{writer[0].get<std::string>(),
                                            writer[1].get<uint64_t>(),
                                            writer[2].get<std::string>()});
  }
  for (const auto& [name, claim] : root["c"].items()) {
    std::string bytes;
    ClaimDigest digest;
    if (!absl::WebSafeBase64Unescape(name, &bytes) ||
        bytes.size() != digest.size() || !IsUnsignedTriple(claim) ||
        claim[0].get<uint64_t>() >= document.writers_.size()) {
      return Malformed("bad claim");
    }
    std::memcpy(digest.data(), bytes.data(), digest.size());
    document.claims_[digest] =
        Claim{claim[0].get<uint32_t>(), claim[2].get<uint32_t>(),
              claim[1].get<uint64_t>()};
  }
  return document;
}

std::string ClaimDocument::Format() const {
  json writers = json::array();
  for (const ClaimWriter& writer : writers_) {
    writers.push_back({writer.entry, writer.incarnation, writer.nonce});
  }
  json claims = json::object();
  for (const auto& [digest, claim] : claims_) {
    const absl::string_view bytes(reinterpret_cast<const char*>(digest.data()),
                                  digest.size());
    claims[absl::WebSafeBase64Escape(bytes)] = {claim.writer, claim.number,
                                                claim.at_seconds};
  }
  return json{
      {"v", kVersion}, {"w", std::move(writers)}, {"c", std::move(claims)}}
      .dump();
}

bool ClaimDocument::IsClaimOf(const ClaimDigest& digest,
                              const ClaimWriter& writer,
                              uint64_t number) const {
  const auto it = claims_.find(digest);
  return it != claims_.end() && it->second.number == number &&
         writers_[it->second.writer] == writer;
}

uint32_t ClaimDocument::IndexOf(const ClaimWriter& writer) {
  const auto it = std::find(writers_.begin(), writers_.end(), writer);
  if (it != writers_.end()) {
    return static_cast<uint32_t>(it - writers_.begin());
  }
  writers_.push_back(writer);
  return static_cast<uint32_t>(writers_.size() - 1);
}

void ClaimDocument::Add(const ClaimDigest& digest,
                        const ClaimWriter& writer,
                        uint64_t number,
                        std::chrono::seconds at) {
  claims_[digest] =
      Claim{IndexOf(writer), static_cast<uint32_t>(at.count()), number};
}

void ClaimDocument::Prune(std::chrono::seconds cutoff) {
  const size_t before = claims_.size();
  for (auto it = claims_.begin(); it != claims_.end();) {
    if (it->second.at_seconds < cutoff.count()) {
      claims_.erase(it++);
    } else {
      ++it;
    }
  }
  if (claims_.size() != before) {
    DropUnusedWriters();
  }
}

void ClaimDocument::DropUnusedWriters() {
  std::vector<ClaimWriter> old = std::move(writers_);
  writers_.clear();
  for (auto& [digest, claim] : claims_) {
    claim.writer = IndexOf(old[claim.writer]);
  }
}

size_t ClaimDocument::MaxBytes() const {
  size_t bytes = kFrameBytes + claims_.size() * kMaxClaimBytes;
  for (const ClaimWriter& writer : writers_) {
    // JSON may escape each character of a name as six.
    bytes += kMaxWriterBytes + 6 * (writer.entry.size() + writer.nonce.size());
  }
  return bytes;
}

}  // namespace figflow
