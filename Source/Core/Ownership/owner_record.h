#ifndef OWNERSHIP_OWNER_RECORD_H_
#define OWNERSHIP_OWNER_RECORD_H_

#include <cstdint>
#include <string>

#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Names of this product's keys in the store.
std::string OwnerKey(absl::string_view scope);
std::string SequenceKey(absl::string_view pool);
std::string AcceptedJobKey(absl::string_view pool, absl::string_view job);
std::string JobProgressKey(absl::string_view pool, absl::string_view job);

// Record of a maintenance wave.
std::string WaveKey(uint64_t wave);

// Tells the next keeper of the instances how the last one ended.
std::string HandOverKey();

// The scope of whoever moves and maintains instances. No pool has this name.
inline constexpr char kInstancesScope[] = "@instances";

inline constexpr char kOwnerPrefix[] = "figflow/owner/";
// Records of the daemons, under the owners' prefix so that one watch follows
// both. No scope begins like this.
inline constexpr char kMemberPrefix[] = "figflow/owner/@members/";
std::string MemberKey(absl::string_view entry);

// The key's last part, after the prefix and, for records of jobs, the pool.
std::string LastKeySegment(absl::string_view key);

// Which daemon owns a scope: a pool, or the instances' maintenance. The key
// carries the daemon's lease, and the revision of its first write is the fence
// of all orders under this ownership.
struct OwnerRecord {
  std::string entry;
  // "ip:port" at which the daemon takes calls of its peers.
  std::string address;
  // Unique for each claim, so that a daemon recognises its own write.
  std::string nonce;
};

std::string FormatOwnerRecord(const OwnerRecord& record);
// Error kInvalid.
Result<OwnerRecord> ParseOwnerRecord(absl::string_view bytes);

// A daemon of the fleet. The key carries the daemon's lease.
struct MemberRecord {
  std::string entry;
  // "ip:port" at which the daemon takes calls of its peers.
  std::string address;
  // Processor share in thousandths of a core.
  int64_t millicores = 0;
};

std::string FormatMemberRecord(const MemberRecord& record);
// Error kInvalid.
Result<MemberRecord> ParseMemberRecord(absl::string_view bytes);

// Value of the sequence key: names the write that set it last.
struct SequenceRecord {
  std::string nonce;
  uint64_t number = 0;
};

std::string FormatSequenceRecord(const SequenceRecord& record);
Result<SequenceRecord> ParseSequenceRecord(absl::string_view bytes);

}  // namespace figflow

#endif  // OWNERSHIP_OWNER_RECORD_H_
