#include "Platform/http_key_value_store.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

// Time beyond a watch's wait in which its answer must arrive.
constexpr milliseconds kWatchSlack{2'000};

// Reads members of an answer; notes if one is missing or of another type.
class AnswerReader {
 public:
  explicit AnswerReader(const nlohmann::json& json) : json_(json) {}

  uint64_t Number(const char* name) {
    const auto it = json_.is_object() ? json_.find(name) : json_.end();
    if (it == json_.end() || !it->is_number_unsigned()) {
      ok_ = false;
      return 0;
    }
    return it->get<uint64_t>();
  }

  std::string Text(const char* name) {
    const auto it = json_.is_object() ? json_.find(name) : json_.end();
    if (it == json_.end() || !it->is_string()) {
      ok_ = false;
      return "";
    }
    return it->get<std::string>();
  }

  // Members of the array `name`.
  std::vector<KeyValue> Items(const char* name) {
    std::vector<KeyValue> items;
    const auto it = json_.find(name);
    if (it == json_.end() || !it->is_array()) {
      ok_ = false;
      return items;
    }
    for (const nlohmann::json& object : *it) {
      AnswerReader item(object);
      items.push_back(KeyValue{
          item.Text("key"),
          VersionedValue{item.Text("value"), item.Number("revision")}});
      ok_ = ok_ && item.ok();
    }
    return items;
  }

  bool ok() const { return ok_; }

 private:
  const nlohmann::json& json_;
  bool ok_ = true;
};

tl::unexpected<Error> BadAnswer(absl::string_view kind,
                                CallEffect effect,
                                const PlatformClient& client) {
  return Fail(LostCallCode(effect, true), std::string(kind), client.address(),
              "the answer lacks a member");
}

}  // namespace

Result<std::optional<VersionedValue>> HttpKeyValueStore::Get(
    absl::string_view key,
    milliseconds timeout) {
  constexpr absl::string_view kind = "kv.get";
  const auto answer = client_.Call(
      {kind, CallEffect::kRead, absl::StrCat("/kv/get?key=", QueryEscape(key)),
       nullptr, timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  AnswerReader reader(*answer);
  const uint64_t revision = reader.Number("revision");
  if (reader.ok() && revision == 0) {
    return std::optional<VersionedValue>();
  }
  std::string value = reader.Text("value");
  if (!reader.ok()) {
    return BadAnswer(kind, CallEffect::kRead, client_);
  }
  return std::optional<VersionedValue>(
      VersionedValue{std::move(value), revision});
}

Result<uint64_t> HttpKeyValueStore::CompareAndSwap(absl::string_view key,
                                                   uint64_t expected_revision,
                                                   absl::string_view value,
                                                   milliseconds timeout,
                                                   LeaseId lease) {
  constexpr absl::string_view kind = "kv.compare_and_swap";
  if (value.size() > kMaxValueBytes) {
    return Fail(ErrorCode::kInvalid, std::string(kind), client_.address(),
                absl::StrCat("the value has ", value.size(), " bytes; at most ",
                             kMaxValueBytes, " are accepted"));
  }
  const auto answer = client_.Call({kind,
                                    CallEffect::kWrite,
                                    "/kv/cas",
                                    {{"key", std::string(key)},
                                     {"expected", expected_revision},
                                     {"value", std::string(value)},
                                     {"lease", lease}},
                                    timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  AnswerReader reader(*answer);
  const uint64_t revision = reader.Number("revision");
  if (!reader.ok()) {
    return BadAnswer(kind, CallEffect::kWrite, client_);
  }
  return revision;
}

Result<void> HttpKeyValueStore::CompareAndDelete(absl::string_view key,
                                                 uint64_t expected_revision,
                                                 milliseconds timeout) {
  const auto answer = client_.Call(
      {"kv.compare_and_delete",
       CallEffect::kWrite,
       "/kv/delete",
       {{"key", std::string(key)}, {"expected", expected_revision}},
       timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return {};
}

Result<std::vector<KeyValue>> HttpKeyValueStore::List(absl::string_view prefix,
                                                      milliseconds timeout) {
  constexpr absl::string_view kind = "kv.list";
  const auto answer =
      client_.Call({kind, CallEffect::kRead,
                    absl::StrCat("/kv/list?prefix=", QueryEscape(prefix)),
                    nullptr, timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  AnswerReader reader(*answer);
  std::vector<KeyValue> items = reader.Items("items");
  if (!reader.ok()) {
    return BadAnswer(kind, CallEffect::kRead, client_);
  }
  return items;
}

Result<WatchResult> HttpKeyValueStore::Watch(absl::string_view prefix,
                                             uint64_t after_revision,
                                             milliseconds wait) {
  constexpr absl::string_view kind = "kv.watch";
  const auto answer = client_.Call(
      {kind, CallEffect::kRead,
       absl::StrCat("/kv/watch?prefix=", QueryEscape(prefix),
                    "&after=", after_revision, "&wait_ms=", wait.count()),
       nullptr, wait + kWatchSlack});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  AnswerReader reader(*answer);
  WatchResult result;
  result.changes = reader.Items("changes");
  result.revision = reader.Number("revision");
  if (!reader.ok()) {
    return BadAnswer(kind, CallEffect::kRead, client_);
  }
  return result;
}

Result<LeaseId> HttpKeyValueStore::GrantLease(milliseconds ttl,
                                              milliseconds timeout) {
  constexpr absl::string_view kind = "kv.grant_lease";
  const auto answer = client_.Call({kind,
                                    CallEffect::kWrite,
                                    "/kv/lease/grant",
                                    {{"ttl_ms", ttl.count()}},
                                    timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  AnswerReader reader(*answer);
  const LeaseId lease = reader.Number("lease");
  if (!reader.ok()) {
    return BadAnswer(kind, CallEffect::kWrite, client_);
  }
  return lease;
}

Result<void> HttpKeyValueStore::KeepLeaseAlive(LeaseId lease,
                                               milliseconds timeout) {
  const auto answer = client_.Call({"kv.keep_lease_alive",
                                    CallEffect::kWrite,
                                    "/kv/lease/keepalive",
                                    {{"lease", lease}},
                                    timeout});
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return {};
}

}  // namespace figflow
