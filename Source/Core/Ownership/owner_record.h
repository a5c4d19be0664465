#ifndef OWNERSHIP_OWNER_RECORD_H_
#define OWNERSHIP_OWNER_RECORD_H_

#include <cstdint>
#include <string>

#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Keys of the daemon's records in the store.
std::string OwnerKey(absl::string_view scope);
std::string SequenceKey(absl::string_view pool);
std::string AcceptedJobKey(absl::string_view pool, absl::string_view job);
std::string JobProgressKey(absl::string_view pool, absl::string_view job);

// Returns the key of the leases that the last owner of the scope has handed
// over.
std::string LeaseRecordKey(absl::string_view scope);

// Returns the key of a maintenance wave's record.
std::string WaveKey(uint64_t wave);

// Returns the key of the record that reports to the next controller of the
// instances how the last one ended.
std::string HandOverKey();

// The scope of the duty to move and maintain instances. No pool has this name.
inline constexpr char kInstancesScope[] = "@instances";

inline constexpr char kOwnerPrefix[] = "figflow/owner/";
// Prefix of the member records. It lies under the prefix of the owners so that
// one watch covers both. No scope has this prefix.
inline constexpr char kMemberPrefix[] = "figflow/owner/@members/";
std::string MemberKey(absl::string_view entry);

// Returns the last segment of a key: the part after the prefix and, for records
// of jobs, after the pool.
std::string LastKeySegment(absl::string_view key);

// Names the daemon that owns a scope. The key carries the daemon's lease, and
// the revision of its first write is the fence of all orders under this
// ownership.
struct OwnerRecord {
  std::string entry;
  // "ip:port" on which the daemon accepts connections from its peers.
  std::string address;
  // Unique for each claim, so that a daemon recognises its own write.
  std::string nonce;
};

std::string FormatOwnerRecord(const OwnerRecord& record);
// Fails with kInvalid on malformed input.
Result<OwnerRecord> ParseOwnerRecord(absl::string_view bytes);

// Describes a daemon of the fleet. The key carries the daemon's lease.
struct MemberRecord {
  std::string entry;
  // "ip:port" on which the daemon accepts connections from its peers.
  std::string address;
  // Processor share in thousandths of a core.
  int64_t millicores = 0;
};

std::string FormatMemberRecord(const MemberRecord& record);
// Fails with kInvalid on malformed input.
Result<MemberRecord> ParseMemberRecord(absl::string_view bytes);

// Value of the sequence key; identifies the last write that set it.
struct SequenceRecord {
  std::string nonce;
  uint64_t number = 0;
};

std::string FormatSequenceRecord(const SequenceRecord& record);
Result<SequenceRecord> ParseSequenceRecord(absl::string_view bytes);

}  // namespace figflow

#endif  // OWNERSHIP_OWNER_RECORD_H_
