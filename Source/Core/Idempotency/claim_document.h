#ifndef IDEMPOTENCY_CLAIM_DOCUMENT_H_
#define IDEMPOTENCY_CLAIM_DOCUMENT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Common/error.h"
#include "Common/strong_id.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"

namespace figflow {

// First half of the SHA-256 of scope and key. Not a faster hash: a caller must
// not be able to make another caller's key look claimed.
using ClaimDigest = std::array<unsigned char, 16>;

ClaimDigest DigestOf(const ProjectId& scope, absl::string_view key);

// A running daemon as the owner of claims.
struct ClaimWriter {
  std::string entry;
  uint64_t incarnation = 0;
  // Random; keeps two processes apart that were given the same incarnation.
  std::string nonce;

  friend bool operator==(const ClaimWriter& a, const ClaimWriter& b) {
    return a.incarnation == b.incarnation && a.entry == b.entry &&
           a.nonce == b.nonce;
  }
};

// The claims of one shard. As JSON, with writers stored once:
//   {"v":1,"w":[["entry",1,"nonce"]],"c":{"<digest>":[0,17,1733300000]}}
// where a claim is [index of its writer, number, seconds since the epoch].
class ClaimDocument {
 public:
  // kInvalid for malformed text or an unknown version.
  static Result<ClaimDocument> Parse(absl::string_view text);
  std::string Format() const;

  bool Contains(const ClaimDigest& digest) const {
    return claims_.count(digest) != 0;
  }
  // Whether `writer` made the claim under this number.
  bool IsClaimOf(const ClaimDigest& digest,
                 const ClaimWriter& writer,
                 uint64_t number) const;
  // The digest must not be contained.
  void Add(const ClaimDigest& digest,
           const ClaimWriter& writer,
           uint64_t number,
           std::chrono::seconds at);
  // Removes claims made before `cutoff`, and writers without claims.
  void Prune(std::chrono::seconds cutoff);
  size_t size() const { return claims_.size(); }
  // Upper bound of Format().size().
  size_t MaxBytes() const;

 private:
  struct Claim {
    uint32_t writer = 0;
    uint32_t at_seconds = 0;
    uint64_t number = 0;
  };

  uint32_t IndexOf(const ClaimWriter& writer);
  void DropUnusedWriters();

  std::vector<ClaimWriter> writers_;
  absl::flat_hash_map<ClaimDigest, Claim> claims_;
};

}  // namespace figflow

#endif  // IDEMPOTENCY_CLAIM_DOCUMENT_H_
