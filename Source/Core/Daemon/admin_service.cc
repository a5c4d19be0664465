#include "Daemon/admin_service.h"

#include <random>
#include <utility>

#include "Daemon/admin_views.h"
#include "Sheet/sheet_parser.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

constexpr char kDocumentPrefix[] = "dc/";

// The faults of a refused sheet in one message; the check call lists them as
// rows.
std::string FaultText(const std::vector<SheetFault>& faults) {
  std::string text;
  for (const SheetFault& fault : faults) {
    absl::StrAppend(&text, text.empty() ? "" : "; ", ToString(fault));
  }
  return text;
}

// 32 hexadecimal digits.
std::string RandomId() {
  std::random_device random;
  std::string id;
  for (int i = 0; i < 4; ++i) {
    absl::StrAppend(&id, absl::Hex(random(), absl::kZeroPad8));
  }
  return id;
}

Result<SheetDocument> ParseWhole(absl::string_view csv) {
  ParsedSheet parsed = ParseSheet(csv);
  if (!parsed.ok()) {
    return Fail(ErrorCode::kInvalid, "sheet.parse", "",
                FaultText(parsed.faults));
  }
  return std::move(parsed.document);
}

}  // namespace

AdminService::AdminService(AdminParts parts,
                           std::chrono::milliseconds store_timeout)
    : parts_(parts), store_timeout_(store_timeout) {}

void AdminService::AddDump(std::string name,
                           std::function<nlohmann::json()> dump) {
  dumps_[std::move(name)] = std::move(dump);
}

Result<void> AdminService::Ready() {
  if (stopping_) {
    return Fail(ErrorCode::kUnavailable, "daemon.ready", "",
                "the daemon is stopping");
  }
  const std::string reason = parts_.config.NotReadyReason();
  if (!reason.empty()) {
    return Fail(ErrorCode::kUnavailable, "daemon.ready", "", reason);
  }
  return {};
}

std::string AdminService::Metrics() {
  return parts_.metrics.Expose();
}

nlohmann::json AdminService::State() {
  nlohmann::json state = nlohmann::json::object();
  for (const auto& [name, dump] : dumps_) {
    state[name] = dump();
  }
  return state;
}

Result<SheetInForce> AdminService::GetSheet() {
  const auto in_force = parts_.config.InForce();
  SheetDocument document;
  document.base_revision = in_force->revision;
  document.rows = in_force->rows;
  return SheetInForce{in_force->revision, ToCsv(document)};
}

Result<SheetCheck> AdminService::CheckSheet(absl::string_view csv) {
  const ParsedSheet parsed = ParseSheet(csv);
  SheetCheck check;
  check.base_revision = parsed.document.base_revision;
  check.rows = static_cast<int>(parsed.document.rows.size());
  check.faults = FaultViews(parsed.faults);
  return check;
}

Result<SheetDiffView> AdminService::DiffSheet(absl::string_view csv) {
  Result<SheetDocument> sheet = ParseWhole(csv);
  if (!sheet) {
    return tl::unexpected<Error>(sheet.error());
  }
  SheetDiffView view;
  view.base_revision = sheet->base_revision;
  view.revision = parts_.config.InForce()->revision;
  view.changes = ChangeViews(parts_.config.Diff(*sheet));
  return view;
}

Result<SheetApplied> AdminService::ApplySheet(absl::string_view csv,
                                              const std::string& apply_id) {
  Result<SheetDocument> sheet = ParseWhole(csv);
  if (!sheet) {
    return tl::unexpected<Error>(sheet.error());
  }
  ApplyRequest request;
  request.sheet = std::move(*sheet);
  request.apply_id = apply_id;
  if (request.apply_id.empty()) {
    request.apply_id = RandomId();
  }
  Result<ApplyOutcome> outcome =
      parts_.config.Apply(request, 4 * store_timeout_);
  if (!outcome) {
    return tl::unexpected<Error>(outcome.error());
  }
  return SheetApplied{outcome->revision, request.apply_id};
}

Result<StatusReport> AdminService::Status() {
  const PeerDigest local = parts_.local.LocalDigest();
  StatusReport report;
  report.entry = local.entry;
  report.incarnation = local.incarnation;
  report.data_centre = local.data_centre;
  report.config_revision = local.config_revision;
  report.ready = Ready().has_value();
  report.store_reachable = !parts_.control.LastStatus().error.has_value();
  report.daemons = DaemonRows(local, parts_.peers.Peers());
  return report;
}

Result<std::vector<DataCentreDocument>> AdminService::ReadDocuments() {
  const Result<std::vector<KeyValue>> stored =
      parts_.store.List(kDocumentPrefix, store_timeout_);
  if (!stored) {
    return tl::unexpected<Error>(stored.error());
  }
  std::vector<DataCentreDocument> documents;
  for (const KeyValue& entry : *stored) {
    Result<DataCentreDocument> document =
        ParseDataCentreDocument(entry.versioned.value);
    if (!document) {
      return tl::unexpected<Error>(document.error());
    }
    documents.push_back(std::move(*document));
  }
  return documents;
}

std::vector<DataCentreDocument> AdminService::Documents() {
  Result<std::vector<DataCentreDocument>> documents = ReadDocuments();
  if (documents) {
    return std::move(*documents);
  }
  std::optional<DataCentreDocument> known = parts_.data_centre.Current();
  return known ? std::vector<DataCentreDocument>{std::move(*known)}
               : std::vector<DataCentreDocument>();
}

std::string AdminService::WriterName() {
  const PeerDigest local = parts_.local.LocalDigest();
  return absl::StrCat(local.entry.value(), "/", local.incarnation);
}

Result<std::vector<ProjectRow>> AdminService::Projects(
    const AdminFilter& filter) {
  const auto in_force = parts_.config.InForce();
  std::map<ProjectId, BudgetDocument> budgets;
  for (const SheetRow& row : in_force->rows) {
    if (budgets.count(row.project) != 0 ||
        (!filter.project.empty() && filter.project != row.project)) {
      continue;
    }
    Result<BudgetDocument> budget = parts_.budgets.Read(row.project);
    if (budget) {
      budgets[row.project] = std::move(*budget);
    }
  }
  return ProjectRows(*in_force, Documents(), budgets, parts_.clock.WallNow(),
                     filter);
}

Result<std::vector<PoolRow>> AdminService::Pools(const AdminFilter& filter) {
  std::vector<PoolRow> rows =
      PoolRows(*parts_.config.InForce(), Documents(), filter);
  const PeerDigest local = parts_.local.LocalDigest();
  for (PoolRow& row : rows) {
    if (row.data_centre != local.data_centre) {
      continue;
    }
    for (const auto& [pool, free] : local.free_slots) {
      row.free_slots = pool == row.pool ? free : row.free_slots;
    }
  }
  return rows;
}

Result<std::vector<InstanceRow>> AdminService::Instances(
    const AdminFilter& filter) {
  return InstanceRows(Documents(), filter);
}

Result<std::vector<LedgerRow>> AdminService::Ledger(const AdminFilter& filter) {
  return LedgerRows(Documents(), parts_.clock.WallNow(), filter);
}

Result<EntryRemoval> AdminService::RemoveEntry(const EntryId& entry) {
  const Result<void> removed = parts_.control.RemoveEntry(entry);
  if (!removed) {
    return tl::unexpected<Error>(removed.error());
  }
  parts_.control.Wake();
  EntryRemoval removal;
  removal.entry = entry;
  removal.data_centre = parts_.local.LocalDigest().data_centre;
  removal.epoch = parts_.control.LastStatus().epoch;
  return removal;
}

}  // namespace figflow
