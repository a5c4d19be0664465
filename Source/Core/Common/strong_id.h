#ifndef COMMON_STRONG_ID_H_
#define COMMON_STRONG_ID_H_

#include <string>
#include <utility>

namespace figflow {

// A string id that does not convert to an id of another kind.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) {
    return a.value_ == b.value_;
  }
  friend bool operator!=(const StrongId& a, const StrongId& b) {
    return a.value_ != b.value_;
  }
  friend bool operator<(const StrongId& a, const StrongId& b) {
    return a.value_ < b.value_;
  }
  template <typename H>
  friend H AbslHashValue(H state, const StrongId& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  std::string value_;
};

using InstanceId = StrongId<struct InstanceIdTag>;
using PoolId = StrongId<struct PoolIdTag>;
using ProjectId = StrongId<struct ProjectIdTag>;
using TeamId = StrongId<struct TeamIdTag>;
using DataCentreId = StrongId<struct DataCentreIdTag>;
using RackId = StrongId<struct RackIdTag>;
// An entry instance, which runs one figflowd.
using EntryId = StrongId<struct EntryIdTag>;
using JobId = StrongId<struct JobIdTag>;
using OperationId = StrongId<struct OperationIdTag>;

}  // namespace figflow

#endif  // COMMON_STRONG_ID_H_
