#include "Ownership/owner_record.h"

#include "Common/json.h"

#include "Common/cbor.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

}  // namespace

std::string OwnerKey(absl::string_view scope) {
  return absl::StrCat(kOwnerPrefix, scope);
}

std::string MemberKey(absl::string_view entry) {
  return absl::StrCat(kMemberPrefix, entry);
}

std::string SequenceKey(absl::string_view pool) {
  return absl::StrCat("figflow/sequence/", pool);
}

std::string AcceptedJobKey(absl::string_view pool, absl::string_view job) {
  return absl::StrCat("figflow/jobs/", pool, "/", job);
}

std::string JobProgressKey(absl::string_view pool, absl::string_view job) {
  return absl::StrCat("figflow/progress/", pool, "/", job);
}

std::string LeaseRecordKey(absl::string_view scope) {
  return absl::StrCat("figflow/leases/", scope);
}

std::string WaveKey(uint64_t wave) {
  return absl::StrCat("figflow/waves/", wave);
}

std::string HandOverKey() {
  return "figflow/handover/instances";
}

std::string LastKeySegment(absl::string_view key) {
  const size_t slash = key.rfind('/');
  return std::string(slash == absl::string_view::npos ? key
                                                      : key.substr(slash + 1));
}

std::string FormatOwnerRecord(const OwnerRecord& record) {
  return FormatCbor(json::array({record.entry, record.address, record.nonce}));
}

Result<OwnerRecord> ParseOwnerRecord(absl::string_view bytes) {
  return ParseCbor<OwnerRecord>(bytes, "owner.record", [](const json& row) {
    return OwnerRecord{row.at(0).get<std::string>(),
                       row.at(1).get<std::string>(),
                       row.at(2).get<std::string>()};
  });
}

std::string FormatMemberRecord(const MemberRecord& record) {
  return FormatCbor(
      json::array({record.entry, record.address, record.millicores}));
}

Result<MemberRecord> ParseMemberRecord(absl::string_view bytes) {
  return ParseCbor<MemberRecord>(bytes, "member.record", [](const json& row) {
    return MemberRecord{row.at(0).get<std::string>(),
                        row.at(1).get<std::string>(), row.at(2).get<int64_t>()};
  });
}

std::string FormatSequenceRecord(const SequenceRecord& record) {
  return FormatCbor(json::array({record.nonce, record.number}));
}

Result<SequenceRecord> ParseSequenceRecord(absl::string_view bytes) {
  return ParseCbor<SequenceRecord>(
      bytes, "owner.sequence", [](const json& row) {
        return SequenceRecord{row.at(0).get<std::string>(),
                              row.at(1).get<uint64_t>()};
      });
}

}  // namespace figflow
