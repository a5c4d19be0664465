#ifndef ADMIN_ADMIN_JSON_H_
#define ADMIN_ADMIN_JSON_H_

#include <string>
#include <vector>

#include "Common/json.h"

#include "Admin/admin_types.h"
#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

nlohmann::json ToJson(const SheetInForce& sheet);
nlohmann::json ToJson(const SheetCheck& check);
nlohmann::json ToJson(const SheetDiffView& diff);
nlohmann::json ToJson(const SheetApplied& applied);
nlohmann::json ToJson(const StatusReport& status);
nlohmann::json ToJson(const ProjectRow& row);
nlohmann::json ToJson(const PoolRow& row);
nlohmann::json ToJson(const InstanceRow& row);
nlohmann::json ToJson(const LedgerRow& row);
nlohmann::json ToJson(const JobRow& row);
nlohmann::json ToJson(const RolloutRow& row);
nlohmann::json ToJson(const EntryRemoval& removal);

// {"error": {"code", "step", "peer", "message"}}
nlohmann::json ToJson(const Error& error);

// {"<name>": [rows]}
template <typename Row>
nlohmann::json ToJson(const char* name, const std::vector<Row>& rows) {
  nlohmann::json list = nlohmann::json::array();
  for (const Row& row : rows) {
    list.push_back(ToJson(row));
  }
  return nlohmann::json{{name, std::move(list)}};
}

// True for 1 to 64 letters, digits, '.', '_' or '-', with a letter or digit
// first. Ids become parts of store keys, so '/' is not allowed.
bool IsValidId(absl::string_view id);

// Parse functions for request bodies. They refuse unknown, missing and
// mistyped fields with kInvalid and name the field.
Result<JobSubmission> ParseJobSubmission(absl::string_view body);
Result<RolloutStart> ParseRolloutStart(absl::string_view body);
// {"project": P}
Result<ProjectId> ParseProjectBody(absl::string_view body);

}  // namespace figflow

#endif  // ADMIN_ADMIN_JSON_H_
