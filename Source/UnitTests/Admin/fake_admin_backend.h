#ifndef ADMIN_FAKE_ADMIN_BACKEND_H_
#define ADMIN_FAKE_ADMIN_BACKEND_H_

#include <optional>
#include <string>
#include <vector>

#include "Admin/admin_backend.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {

// Records the last call as text and answers with fixed rows or with `error`.
class FakeAdminBackend : public AdminBackend {
 public:
  std::string last;
  std::optional<Error> error;

  Result<void> Ready() override {
    last = "ready";
    return error ? Result<void>(tl::unexpected<Error>(*error)) : Result<void>();
  }
  std::string Metrics() override { return "figflow_a 1\n"; }
  nlohmann::json State() override { return {{"state", "\xff"}}; }
  Result<SheetInForce> GetSheet() override {
    return Answer("sheet", SheetInForce{7, "#revision,7\n"});
  }
  Result<SheetCheck> CheckSheet(absl::string_view csv) override {
    SheetCheck check{7, 1, {}};
    if (csv == "bad") {
      check.faults.push_back(SheetFaultView{2, "pool", "tab\there"});
    }
    return Answer(absl::StrCat("check ", csv), check);
  }
  Result<SheetDiffView> DiffSheet(absl::string_view csv) override {
    return Answer(absl::StrCat("diff ", csv), SheetDiffView{7, 7, {}});
  }
  Result<SheetApplied> ApplySheet(absl::string_view csv,
                                  const std::string& id) override {
    return Answer(absl::StrCat("apply ", csv, " ", id), SheetApplied{8, id});
  }
  Result<StatusReport> Status() override {
    return Answer("status", StatusReport());
  }
  Result<std::vector<ProjectRow>> Projects(const AdminFilter& f) override {
    return Answer(Text("projects", f), std::vector<ProjectRow>(1));
  }
  Result<std::vector<PoolRow>> Pools(const AdminFilter& f) override {
    PoolRow row;
    row.project = ProjectId("rice");
    row.pool = PoolId("rice-long-name");
    return Answer(Text("pools", f), std::vector<PoolRow>{row, PoolRow()});
  }
  Result<std::vector<InstanceRow>> Instances(const AdminFilter& f) override {
    return Answer(Text("instances", f), std::vector<InstanceRow>(1));
  }
  Result<std::vector<LedgerRow>> Ledger(const AdminFilter& f) override {
    return Answer(Text("ledger", f), std::vector<LedgerRow>(1));
  }
  Result<JobRow> SubmitJob(const JobSubmission& job) override {
    return Answer(absl::StrCat("submit ", job.project.value(), " ",
                               job.priority, " ", job.cores, " ", job.command),
                  JobRow());
  }
  Result<std::vector<JobRow>> Jobs(const AdminFilter& f) override {
    return Answer(Text("jobs", f), std::vector<JobRow>(1));
  }
  Result<JobRow> GetJob(const ProjectId& project, const JobId& id) override {
    return Answer(absl::StrCat("job ", project.value(), " ", id.value()),
                  JobRow());
  }
  Result<JobRow> CancelJob(const ProjectId& project, const JobId& id) override {
    return Answer(absl::StrCat("cancel ", project.value(), " ", id.value()),
                  JobRow());
  }
  Result<RolloutRow> StartMaintenance(const RolloutStart& start) override {
    return Answer(
        absl::StrCat("start ", start.project.value(), " ", start.rollout),
        RolloutRow());
  }
  Result<RolloutRow> PauseMaintenance(const ProjectId& project) override {
    return Answer(absl::StrCat("pause ", project.value()), RolloutRow());
  }
  Result<RolloutRow> ResumeMaintenance(const ProjectId& project) override {
    return Answer(absl::StrCat("resume ", project.value()), RolloutRow());
  }
  Result<std::vector<RolloutRow>> Maintenance(const AdminFilter& f) override {
    return Answer(Text("maintenance", f), std::vector<RolloutRow>(1));
  }
  Result<EntryRemoval> RemoveEntry(const EntryId& entry) override {
    return Answer(absl::StrCat("remove ", entry.value()), EntryRemoval());
  }

 private:
  static std::string Text(const char* name, const AdminFilter& f) {
    return absl::StrCat(name, " ", f.project.value(), "/", f.pool.value(), "/",
                        f.team.value(), "/", f.data_centre.value(), "/",
                        f.state);
  }

  template <typename T>
  Result<T> Answer(std::string call, T value) {
    last = std::move(call);
    if (error) {
      return tl::unexpected<Error>(*error);
    }
    return value;
  }
};

}  // namespace figflow::test

#endif  // ADMIN_FAKE_ADMIN_BACKEND_H_
