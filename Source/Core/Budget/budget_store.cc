#include "Budget/budget_store.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {

BudgetStore::BudgetStore(KeyValueStore& store,
                         std::string writer,
                         std::chrono::milliseconds timeout)
    : store_(store), writer_(std::move(writer)), timeout_(timeout) {}

BudgetStore::Client BudgetStore::ClientOf(const ProjectId& project) const {
  BudgetDocument empty;
  empty.project = project;
  return {store_,
          absl::StrCat("budget/", project.value()),
          writer_,
          std::move(empty),
          {&ParseBudgetDocument, &FormatBudgetDocument},
          timeout_};
}

template <typename Function>
Result<void> BudgetStore::Change(const ProjectId& project,
                                 const Function& change) const {
  const auto written = ClientOf(project).Update(
      [&](BudgetDocument& document, const std::string&) -> Result<bool> {
        return change(document);
      });
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  return {};
}

Result<BudgetDocument> BudgetStore::Read(const ProjectId& project) const {
  auto read = ClientOf(project).Read();
  if (!read) {
    return tl::unexpected<Error>(read.error());
  }
  return std::move(read->document);
}

Result<void> BudgetStore::SetGrant(const ProjectId& project,
                                   const BudgetGrant& grant) const {
  return Change(project, [&](BudgetDocument& document) {
    return figflow::SetGrant(document, grant);
  });
}

Result<BudgetReservation> BudgetStore::Reserve(
    const ProjectId& project,
    const OperationId& operation,
    const InstanceId& instance,
    std::chrono::milliseconds worst_case,
    WallTime now) const {
  BudgetReservation reserved;
  const auto written = ClientOf(project).Update(
      [&](BudgetDocument& document, const std::string&) -> Result<bool> {
        const bool known = document.reservations.count(operation) != 0;
        Result<BudgetReservation> reservation =
            figflow::Reserve(document, operation, instance, worst_case, now);
        if (!reservation) {
          return tl::unexpected<Error>(reservation.error());
        }
        reserved = *reservation;
        return !known;
      });
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  return reserved;
}

Result<void> BudgetStore::Settle(const ProjectId& project,
                                 const OperationId& operation,
                                 WallTime now) const {
  return Change(project, [&](BudgetDocument& document) {
    return figflow::Settle(document, operation, now);
  });
}

Result<void> BudgetStore::SettleAsFailed(const ProjectId& project,
                                         const OperationId& operation,
                                         WallTime now) const {
  return Change(project, [&](BudgetDocument& document) {
    return figflow::SettleAsFailed(document, operation, now);
  });
}

Result<void> BudgetStore::BeginFailure(const ProjectId& project,
                                       const InstanceId& instance,
                                       WallTime now) const {
  return Change(project, [&](BudgetDocument& document) {
    return figflow::BeginFailure(document, instance, now);
  });
}

Result<void> BudgetStore::EndFailure(const ProjectId& project,
                                     const InstanceId& instance,
                                     WallTime now) const {
  return Change(project, [&](BudgetDocument& document) {
    return figflow::EndFailure(document, instance, now);
  });
}

}  // namespace figflow
