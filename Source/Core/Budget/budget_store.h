#ifndef BUDGET_BUDGET_STORE_H_
#define BUDGET_BUDGET_STORE_H_

#include <chrono>
#include <string>

#include "Budget/availability_budget.h"
#include "Budget/budget_document.h"
#include "Platform/document_client.h"
#include "Platform/key_value_store.h"

namespace figflow {

// Budget documents of all projects in the key-value store. Each call is one
// change by compare-and-swap, repeated on conflicts and lost answers; a call
// that failed may be repeated with the same operation id. Thread-safe.
class BudgetStore {
 public:
  // `writer` is unique among processes, such as "<entry>/<incarnation>".
  BudgetStore(KeyValueStore& store,
              std::string writer,
              std::chrono::milliseconds timeout);

  Result<BudgetDocument> Read(const ProjectId& project) const;

  // See the functions of the same name in availability_budget.h.
  Result<void> SetGrant(const ProjectId& project,
                        const BudgetGrant& grant) const;
  Result<BudgetReservation> Reserve(const ProjectId& project,
                                    const OperationId& operation,
                                    const InstanceId& instance,
                                    std::chrono::milliseconds worst_case,
                                    WallTime now) const;
  Result<void> Settle(const ProjectId& project,
                      const OperationId& operation,
                      WallTime now) const;
  Result<void> SettleAsFailed(const ProjectId& project,
                              const OperationId& operation,
                              WallTime now) const;
  Result<void> BeginFailure(const ProjectId& project,
                            const InstanceId& instance,
                            WallTime now) const;
  Result<void> EndFailure(const ProjectId& project,
                          const InstanceId& instance,
                          WallTime now) const;

 private:
  using Client = DocumentClient<BudgetDocument>;

  Client ClientOf(const ProjectId& project) const;
  template <typename Function>
  Result<void> Change(const ProjectId& project, const Function& change) const;

  KeyValueStore& store_;
  const std::string writer_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace figflow

#endif  // BUDGET_BUDGET_STORE_H_
