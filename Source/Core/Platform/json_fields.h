#ifndef PLATFORM_JSON_FIELDS_H_
#define PLATFORM_JSON_FIELDS_H_

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Common/json.h"

#include "Common/clock.h"
#include "Common/error.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"

namespace figflow {

// In the year 2255; later times overflow the nanoseconds of WallTime.
inline constexpr int64_t kMaxDocumentTimeMs = 9'000'000'000'000;

// Keeps the first fault found while a durable document is parsed.
struct JsonFault {
  std::string step;
  std::optional<Error> error;

  void Add(absl::string_view path, absl::string_view message) {
    if (!error) {
      error = Error{ErrorCode::kInvalid, step, "",
                    absl::StrCat(path, ": ", message)};
    }
  }
};

// Typed access to the fields of one JSON object. Every field is required. A
// fault is added to JsonFault with the path of the field, and the accessor
// returns an empty value.
class JsonFields {
 public:
  JsonFields(const nlohmann::json& value, std::string path, JsonFault& fault)
      : value_(&value), path_(std::move(path)), fault_(&fault) {
    if (!value.is_object()) {
      fault_->Add(path_, "is not an object");
    }
  }

  std::string Text(const char* name) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_string()) {
      fault_->Add(PathOf(name), "is not a string");
      return {};
    }
    return field->get<std::string>();
  }

  std::string NonEmptyText(const char* name) {
    std::string text = Text(name);
    if (text.empty()) {
      fault_->Add(PathOf(name), "is empty");
    }
    return text;
  }

  int64_t Integer(const char* name, int64_t min, int64_t max) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_number_integer() ||
        (field->is_number_unsigned() &&
         field->get<uint64_t>() > static_cast<uint64_t>(max))) {
      fault_->Add(PathOf(name), "is not an integer in range");
      return min;
    }
    const auto number = field->get<int64_t>();
    if (number < min || number > max) {
      fault_->Add(PathOf(name),
                  absl::StrCat("is not in [", min, ", ", max, "]"));
      return min;
    }
    return number;
  }

  int64_t Natural(const char* name) {
    return Integer(name, 0, std::numeric_limits<int64_t>::max());
  }

  bool Boolean(const char* name) {
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_boolean()) {
      fault_->Add(PathOf(name), "is not a boolean");
      return false;
    }
    return field->get<bool>();
  }

  WallTime Time(const char* name) {
    return FromEpoch(
        std::chrono::milliseconds(Integer(name, 0, kMaxDocumentTimeMs)));
  }

  std::chrono::milliseconds Duration(const char* name) {
    return std::chrono::milliseconds(Natural(name));
  }

  // Index of the field's text in `names`.
  template <typename Enum, size_t N>
  Enum OneOf(const char* name, const char* const (&names)[N]) {
    const std::string text = Text(name);
    for (size_t i = 0; i < N; ++i) {
      if (text == names[i]) {
        return static_cast<Enum>(i);
      }
    }
    fault_->Add(PathOf(name), absl::StrCat("has the unknown value ", text));
    return static_cast<Enum>(0);
  }

  JsonFields Object(const char* name) {
    static const nlohmann::json empty = nlohmann::json::object();
    const nlohmann::json* field = Find(name);
    if (field == nullptr) {
      fault_->Add(PathOf(name), "is missing");
    }
    return {field == nullptr ? empty : *field, PathOf(name), *fault_};
  }

  std::vector<JsonFields> Objects(const char* name) {
    std::vector<JsonFields> objects;
    const nlohmann::json* field = Find(name);
    if (field == nullptr || !field->is_array()) {
      fault_->Add(PathOf(name), "is not an array");
      return objects;
    }
    objects.reserve(field->size());
    for (size_t i = 0; i < field->size(); ++i) {
      objects.emplace_back((*field)[i], absl::StrCat(PathOf(name), "[", i, "]"),
                           *fault_);
    }
    return objects;
  }

  // Rejects fields that no accessor asked for: they come from a later program
  // and would be lost with the next write.
  void Finish() {
    if (!value_->is_object()) {
      return;
    }
    for (const auto& item : value_->items()) {
      if (seen_.count(item.key()) == 0) {
        fault_->Add(PathOf(item.key()), "is an unknown field");
      }
    }
  }

  const std::string& path() const { return path_; }

 private:
  const nlohmann::json* Find(const char* name) {
    seen_.insert(name);
    if (!value_->is_object()) {
      return nullptr;
    }
    auto it = value_->find(name);
    return it == value_->end() ? nullptr : &*it;
  }

  std::string PathOf(absl::string_view name) const {
    return absl::StrCat(path_, ".", name);
  }

  const nlohmann::json* value_;
  std::string path_;
  JsonFault* fault_;
  std::set<std::string> seen_;
};

// Compact text of a document. Invalid UTF-8 is replaced instead of thrown on.
inline std::string DumpJson(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace figflow

#endif  // PLATFORM_JSON_FIELDS_H_
