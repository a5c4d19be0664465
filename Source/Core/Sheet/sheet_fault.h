#ifndef SHEET_SHEET_FAULT_H_
#define SHEET_SHEET_FAULT_H_

#include <string>

namespace figflow {

// Kinds are stable names for tests and tools; the message is for people.
enum class SheetFaultKind {
  kSyntax,
  kTooLarge,
  kMissingRevision,
  kUnknownColumn,
  kMissingColumn,
  kDuplicateColumn,
  kMissingValue,
  kName,
  kNumber,
  kUnit,
  kRange,
  kPriority,
  kDuplicateRow,
  kPoolClaimed,
  kInconsistent,
  kNoRows,
};

// One fault of a sheet. Rows and columns count from 1 as a spreadsheet shows
// them: a quoted cell with line breaks is part of one row. 0 stands for the
// whole sheet or the whole row.
struct SheetFault {
  SheetFaultKind kind = SheetFaultKind::kSyntax;
  int row = 0;
  int column = 0;
  std::string message;
};

// "row 3, column 5: instances: ..."
std::string ToString(const SheetFault& fault);

// Stable lower-case name, such as "duplicate-row".
const char* SheetFaultKindName(SheetFaultKind kind);

}  // namespace figflow

#endif  // SHEET_SHEET_FAULT_H_
