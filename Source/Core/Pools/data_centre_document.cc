#include "Pools/data_centre_document.h"

#include <limits>
#include <set>
#include <utility>

#include "Common/json.h"

#include "Platform/json_fields.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;
constexpr int64_t kDayMs = 86'400'000;
constexpr int kMaxInt = std::numeric_limits<int>::max();

// Names by value of MemberState.
constexpr const char* kMemberStates[] = {"active", "released", "replaced",
                                         "gone", "declared-gone"};
// Names by value of InstanceStage.
constexpr const char* kStages[] = {"active", "draining", "maintenance"};

json FormatMembers(const std::vector<EntryMember>& members) {
  json array = json::array();
  for (const EntryMember& member : members) {
    array.push_back({{"id", member.id.value()},
                     {"incarnation", member.incarnation},
                     {"boot", member.boot},
                     {"state", kMemberStates[static_cast<int>(member.state)]}});
  }
  return array;
}

std::vector<EntryMember> ParseMembers(JsonFields& parent,
                                      const char* name,
                                      JsonFault& fault) {
  std::vector<EntryMember> members;
  for (JsonFields& fields : parent.Objects(name)) {
    EntryMember member;
    member.id = EntryId(fields.NonEmptyText("id"));
    member.incarnation = static_cast<uint64_t>(fields.Natural("incarnation"));
    member.boot = static_cast<uint64_t>(fields.Natural("boot"));
    member.state = fields.OneOf<MemberState>("state", kMemberStates);
    fields.Finish();
    // Shares depend on the position of a member, so all daemons must use the
    // same sequence.
    if (!members.empty() && !(members.back().id < member.id)) {
      fault.Add(fields.path(), "is not sorted by id");
    }
    members.push_back(std::move(member));
  }
  return members;
}

json FormatInstance(const InstanceId& id, const InstanceRecord& record) {
  return {{"id", id.value()},
          {"rack", record.rack.value()},
          {"address", record.address},
          {"boot", record.boot},
          {"slots", record.slots},
          {"connections", record.connections},
          {"stage", kStages[static_cast<int>(record.stage)]},
          {"pool", record.pool.value()},
          {"project", record.project.value()},
          {"to_pool", record.to_pool.value()},
          {"to_project", record.to_project.value()},
          {"operation", record.operation.value()},
          {"drain_id", record.drain_id},
          {"since", SinceEpoch(record.since).count()}};
}

void ParseInstance(JsonFields& fields,
                   JsonFault& fault,
                   std::map<InstanceId, InstanceRecord>& instances) {
  InstanceRecord record;
  InstanceId id(fields.NonEmptyText("id"));
  record.rack = RackId(fields.Text("rack"));
  record.address = fields.Text("address");
  record.boot = static_cast<uint64_t>(fields.Natural("boot"));
  record.slots = static_cast<int>(fields.Integer("slots", 0, kMaxInt));
  record.connections =
      static_cast<int>(fields.Integer("connections", 0, kMaxInt));
  record.stage = fields.OneOf<InstanceStage>("stage", kStages);
  record.pool = PoolId(fields.NonEmptyText("pool"));
  record.project = ProjectId(fields.NonEmptyText("project"));
  record.to_pool = PoolId(fields.Text("to_pool"));
  record.to_project = ProjectId(fields.Text("to_project"));
  record.operation = OperationId(fields.Text("operation"));
  record.drain_id = fields.Text("drain_id");
  record.since = fields.Time("since");
  fields.Finish();
  const bool draining = record.stage == InstanceStage::kDraining;
  if (record.to_pool.empty() == draining ||
      record.to_project.empty() == draining) {
    fault.Add(fields.path(),
              "must have a destination if and only if it is draining");
  }
  if (record.operation.empty() ==
      (record.stage == InstanceStage::kMaintenance)) {
    fault.Add(fields.path(),
              "must have an operation if and only if it is in maintenance");
  }
  if (record.drain_id.empty() != (record.stage == InstanceStage::kActive)) {
    fault.Add(fields.path(),
              "must have a drain id if and only if it is not active");
  }
  if (!instances.emplace(std::move(id), std::move(record)).second) {
    fault.Add(fields.path(), "is a duplicate of another instance");
  }
}

// Parses the text and checks its version. Returns an empty object and sets
// `fault` if the text is not JSON.
json ParseVersioned(absl::string_view text, JsonFault& fault) {
  json root = json::parse(text.begin(), text.end(), nullptr, false);
  if (root.is_discarded()) {
    fault.Add("$", "is not JSON");
    return json::object();
  }
  JsonFields version(root, "$", fault);
  version.Integer("version", kVersion, kVersion);
  return root;
}

}  // namespace

std::string FormatDataCentreDocument(const DataCentreDocument& document) {
  json instances = json::array();
  for (const auto& [id, record] : document.instances) {
    instances.push_back(FormatInstance(id, record));
  }
  json departed = json::array();
  for (const auto& [id, left] : document.departed) {
    departed.push_back({{"id", id.value()},
                        {"boot", left.boot},
                        {"pool", left.pool.value()},
                        {"project", left.project.value()},
                        {"since", SinceEpoch(left.since).count()}});
  }
  json ledger = json::array();
  for (const auto& [project, total] : document.ledger) {
    ledger.push_back({{"project", project.value()}, {"ms", total.count()}});
  }
  json moves = json::array();
  for (const auto& [pool, count] : document.move_count.moves) {
    moves.push_back({{"pool", pool.value()}, {"count", count}});
  }
  const EntryMembership& entries = document.entries;
  return DumpJson({{"version", kVersion},
                   {"data_centre", document.data_centre.value()},
                   {"write_id", document.write_id},
                   {"change", document.change},
                   {"entries",
                    {{"epoch", entries.epoch},
                     {"epoch_id", entries.epoch_id},
                     {"previous", FormatMembers(entries.previous)},
                     {"current", FormatMembers(entries.current)},
                     {"joining", FormatMembers(entries.joining)}}},
                   {"instances", std::move(instances)},
                   {"departed", std::move(departed)},
                   {"ledger", std::move(ledger)},
                   {"move_day", document.move_count.day},
                   {"moves", std::move(moves)},
                   {"config_revision", document.config_revision}});
}

Result<DataCentreDocument> ParseDataCentreDocument(absl::string_view text) {
  JsonFault fault{"pools.parse_document", std::nullopt};
  const json root = ParseVersioned(text, fault);
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  DataCentreDocument document;
  JsonFields fields(root, "$", fault);
  fields.Integer("version", kVersion, kVersion);
  document.data_centre = DataCentreId(fields.NonEmptyText("data_centre"));
  document.write_id = fields.NonEmptyText("write_id");
  document.change = static_cast<uint64_t>(fields.Natural("change"));
  JsonFields entries = fields.Object("entries");
  document.entries.epoch = static_cast<uint64_t>(entries.Natural("epoch"));
  document.entries.epoch_id = entries.Text("epoch_id");
  document.entries.previous = ParseMembers(entries, "previous", fault);
  document.entries.current = ParseMembers(entries, "current", fault);
  document.entries.joining = ParseMembers(entries, "joining", fault);
  entries.Finish();
  for (JsonFields& instance : fields.Objects("instances")) {
    ParseInstance(instance, fault, document.instances);
  }
  for (JsonFields& left : fields.Objects("departed")) {
    DepartedInstance& record =
        document.departed[InstanceId(left.NonEmptyText("id"))];
    record.boot = static_cast<uint64_t>(left.Natural("boot"));
    record.pool = PoolId(left.NonEmptyText("pool"));
    record.project = ProjectId(left.NonEmptyText("project"));
    record.since = left.Time("since");
    left.Finish();
  }
  for (JsonFields& total : fields.Objects("ledger")) {
    document.ledger[ProjectId(total.NonEmptyText("project"))] +=
        total.Duration("ms");
    total.Finish();
  }
  document.move_count.day = fields.Natural("move_day");
  for (JsonFields& moves : fields.Objects("moves")) {
    document.move_count.moves[PoolId(moves.NonEmptyText("pool"))] =
        static_cast<int>(moves.Integer("count", 0, kMaxInt));
    moves.Finish();
  }
  document.config_revision =
      static_cast<uint64_t>(fields.Natural("config_revision"));
  fields.Finish();
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  return document;
}

std::string FormatConfirmation(const Confirmation& confirmation) {
  json drained = json::array();
  for (const auto& [id, drain_id] : confirmation.drained) {
    drained.push_back({{"id", id.value()}, {"drain_id", drain_id}});
  }
  return DumpJson({{"version", kVersion},
                   {"entry", confirmation.entry.value()},
                   {"incarnation", confirmation.incarnation},
                   {"epoch_id", confirmation.epoch_id},
                   {"drained", std::move(drained)}});
}

Result<Confirmation> ParseConfirmation(absl::string_view text) {
  JsonFault fault{"pools.parse_confirmation", std::nullopt};
  const json root = ParseVersioned(text, fault);
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  Confirmation confirmation;
  JsonFields fields(root, "$", fault);
  fields.Integer("version", kVersion, kVersion);
  confirmation.entry = EntryId(fields.NonEmptyText("entry"));
  confirmation.incarnation =
      static_cast<uint64_t>(fields.Natural("incarnation"));
  confirmation.epoch_id = fields.Text("epoch_id");
  for (JsonFields& drained : fields.Objects("drained")) {
    InstanceId id(drained.NonEmptyText("id"));
    confirmation.drained[std::move(id)] = drained.NonEmptyText("drain_id");
    drained.Finish();
  }
  fields.Finish();
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  return confirmation;
}

int64_t UtcDay(WallTime time) {
  const int64_t ms = SinceEpoch(time).count();
  return ms >= 0 ? ms / kDayMs : (ms + 1) / kDayMs - 1;
}

}  // namespace figflow
