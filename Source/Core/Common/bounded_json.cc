#include "Common/bounded_json.h"

#include <cmath>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using nlohmann::json;

constexpr auto kMostUnsigned =
    static_cast<uint64_t>(std::numeric_limits<int64_t>::max());
// The largest float whose conversion to int64_t is defined.
constexpr double kMostFloat = 9'223'372'036'854'774'784.0;

// Builds a document from the events of the library's parser.
class DocumentBuilder : public nlohmann::json_sax<json> {
 public:
  explicit DocumentBuilder(size_t most_nesting) : most_nesting_(most_nesting) {}

  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override {
    return value <= kMostUnsigned ? Add(value) : RefuseNumber();
  }
  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return std::abs(value) <= kMostFloat ? Add(value) : RefuseNumber();
  }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& value) override {
    return Add(json::binary(std::move(value)));
  }
  bool start_object(std::size_t /*size*/) override {
    return Enter(json::object());
  }
  bool key(string_t& value) override {
    member_ = &(*open_.back())[std::move(value)];
    return true;
  }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t /*size*/) override {
    return Enter(json::array());
  }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t position,
                   const std::string& /*token*/,
                   const nlohmann::detail::exception& error) override {
    // The text goes on with what was read last, which may be a secret.
    absl::string_view text = error.what();
    text = text.substr(0, text.find("; last read"));
    fault_ = absl::StrCat(text, " at byte ", position);
    return false;
  }

  json TakeDocument() { return std::move(document_); }
  const std::string& fault() const { return fault_; }

 private:
  bool RefuseNumber() {
    fault_ = "a number is out of range";
    return false;
  }
  // Where the next value goes.
  json* Place(json value) {
    if (open_.empty()) {
      document_ = std::move(value);
      return &document_;
    }
    json& parent = *open_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    *member_ = std::move(value);
    return member_;
  }
  bool Add(json value) {
    Place(std::move(value));
    return true;
  }
  bool Enter(json empty) {
    if (open_.size() == most_nesting_) {
      fault_ = absl::StrCat("nested deeper than ", most_nesting_, " levels");
      return false;
    }
    open_.push_back(Place(std::move(empty)));
    return true;
  }
  bool Leave() {
    open_.pop_back();
    return true;
  }

  const size_t most_nesting_;
  json document_;
  // The arrays and objects that have begun and not ended.
  std::vector<json*> open_;
  // Of the innermost object, the member whose value comes next.
  json* member_ = nullptr;
  std::string fault_;
};

Result<json> Read(absl::string_view bytes,
                  json::input_format_t format,
                  size_t most_nesting) {
  DocumentBuilder builder(most_nesting);
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, format)) {
    return Fail(ErrorCode::kInvalid, "document.read", "", builder.fault());
  }
  return builder.TakeDocument();
}

}  // namespace

Result<json> ReadJson(absl::string_view bytes) {
  return Read(bytes, json::input_format_t::json, kMostNesting);
}

Result<json> ReadCbor(absl::string_view bytes, size_t most_nesting) {
  return Read(bytes, json::input_format_t::cbor, most_nesting);
}

}  // namespace figflow
