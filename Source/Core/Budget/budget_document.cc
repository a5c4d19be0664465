#include "Budget/budget_document.h"

#include <limits>

#include "Common/json.h"

#include "Platform/json_fields.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr int kVersion = 1;

int64_t Ms(WallTime time) {
  return SinceEpoch(time).count();
}

}  // namespace

std::string FormatBudgetDocument(const BudgetDocument& document) {
  json reservations = json::array();
  for (const auto& [operation, reservation] : document.reservations) {
    reservations.push_back({{"operation", operation.value()},
                            {"instance", reservation.instance.value()},
                            {"begin", Ms(reservation.begin)},
                            {"end", Ms(reservation.end)}});
  }
  json failures = json::array();
  for (const auto& [instance, since] : document.failures) {
    failures.push_back({{"instance", instance.value()}, {"since", Ms(since)}});
  }
  json charges = json::array();
  for (const auto& [day, charge] : document.charges) {
    charges.push_back({{"day", day},
                       {"planned_ms", charge.planned.count()},
                       {"unplanned_ms", charge.unplanned.count()}});
  }
  json ended = json::array();
  for (const auto& [operation, at] : document.ended) {
    ended.push_back({{"operation", operation.value()}, {"at", Ms(at)}});
  }
  return DumpJson({{"version", kVersion},
                   {"project", document.project.value()},
                   {"write_id", document.write_id},
                   {"latest", Ms(document.latest)},
                   {"config_revision", document.grant.config_revision},
                   {"max_down", document.grant.max_down},
                   {"per_day_ms", document.grant.per_day.count()},
                   {"reservations", std::move(reservations)},
                   {"failures", std::move(failures)},
                   {"charges", std::move(charges)},
                   {"ended", std::move(ended)}});
}

Result<BudgetDocument> ParseBudgetDocument(absl::string_view text) {
  JsonFault fault{"budget.parse_document", std::nullopt};
  const json root = json::parse(text.begin(), text.end(), nullptr, false);
  BudgetDocument document;
  JsonFields fields(root, "$", fault);
  fields.Integer("version", kVersion, kVersion);
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  document.project = ProjectId(fields.NonEmptyText("project"));
  document.write_id = fields.NonEmptyText("write_id");
  document.latest = fields.Time("latest");
  document.grant.config_revision =
      static_cast<uint64_t>(fields.Natural("config_revision"));
  document.grant.max_down = static_cast<int>(
      fields.Integer("max_down", 0, std::numeric_limits<int>::max()));
  document.grant.per_day = fields.Duration("per_day_ms");
  for (JsonFields& item : fields.Objects("reservations")) {
    BudgetReservation& reservation =
        document.reservations[OperationId(item.NonEmptyText("operation"))];
    reservation.instance = InstanceId(item.NonEmptyText("instance"));
    reservation.begin = item.Time("begin");
    reservation.end = item.Time("end");
    if (reservation.end < reservation.begin) {
      fault.Add(item.path(), "ends before it begins");
    }
    item.Finish();
  }
  for (JsonFields& item : fields.Objects("failures")) {
    document.failures[InstanceId(item.NonEmptyText("instance"))] =
        item.Time("since");
    item.Finish();
  }
  for (JsonFields& item : fields.Objects("charges")) {
    DayCharge& charge = document.charges[item.Natural("day")];
    charge.planned = item.Duration("planned_ms");
    charge.unplanned = item.Duration("unplanned_ms");
    item.Finish();
  }
  for (JsonFields& item : fields.Objects("ended")) {
    document.ended[OperationId(item.NonEmptyText("operation"))] =
        item.Time("at");
    item.Finish();
  }
  fields.Finish();
  if (fault.error) {
    return tl::unexpected<Error>(*fault.error);
  }
  return document;
}

}  // namespace figflow
