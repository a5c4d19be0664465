#include "Peer/peer_message.h"

#include <array>
#include <limits>
#include <utility>

#include "Common/json.h"

#include "Common/bounded_json.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using Json = nlohmann::json;

constexpr char kParseStep[] = "peer.parse";
constexpr size_t kMaxIdBytes = 200;
constexpr size_t kMaxListItems = 10'000;
constexpr uint64_t kMaxRemainingMs = 24ULL * 3600 * 1000;
constexpr uint64_t kMaxHops = 16;
constexpr uint64_t kMaxStatus = 599;
// The most deeply nested valid message holds lists of pairs in its map.
constexpr size_t kMaxMessageDepth = 4;

// Reads the fields of one message and records the first error.
class FieldReader {
 public:
  explicit FieldReader(const Json& map) : map_(map) {}

  bool ok() const { return error_.empty(); }
  const std::string& error() const { return error_; }

  uint64_t Number(const char* name,
                  uint64_t max = std::numeric_limits<uint64_t>::max()) {
    const Json* value = Find(name);
    return value == nullptr ? 0 : NumberOf(*value, name, max);
  }

  bool Flag(const char* name) {
    const Json* value = Find(name);
    if (value == nullptr || !value->is_boolean()) {
      RecordError(name);
      return false;
    }
    return value->get<bool>();
  }

  std::string Text(const char* name, size_t max_bytes = kMaxIdBytes) {
    const Json* value = Find(name);
    return value == nullptr ? "" : TextOf(*value, name, max_bytes);
  }

  std::string Bytes(const char* name) {
    const Json* value = Find(name);
    if (value == nullptr || !value->is_binary()) {
      RecordError(name);
      return "";
    }
    const Json::binary_t& bytes = value->get_binary();
    return {bytes.begin(), bytes.end()};
  }

  std::vector<PeerEndpoint> Endpoints(const char* name) {
    std::vector<PeerEndpoint> endpoints;
    for (const Json* item : Items(name, 4)) {
      endpoints.push_back(EndpointOf(*item, name));
    }
    return endpoints;
  }

  PeerEndpoint Endpoint(const char* name) {
    const Json* value = Find(name);
    if (value == nullptr || !value->is_array() || value->size() != 4) {
      RecordError(name);
      return {};
    }
    return EndpointOf(*value, name);
  }

  // Reads a list of [text, number].
  template <typename Key, typename Value>
  std::vector<std::pair<Key, Value>> Pairs(const char* name) {
    std::vector<std::pair<Key, Value>> pairs;
    for (const Json* item : Items(name, 2)) {
      std::string key = TextOf((*item)[0], name, kMaxIdBytes);
      const uint64_t number =
          NumberOf((*item)[1], name,
                   static_cast<uint64_t>(std::numeric_limits<Value>::max()));
      pairs.emplace_back(Key(std::move(key)), static_cast<Value>(number));
    }
    return pairs;
  }

  // Reads a list of [name, value].
  std::vector<std::pair<std::string, std::string>> Headers(const char* name) {
    std::vector<std::pair<std::string, std::string>> headers;
    for (const Json* item : Items(name, 2)) {
      std::string key = TextOf((*item)[0], name, kMaxPeerMessageBytes);
      std::string value = TextOf((*item)[1], name, kMaxPeerMessageBytes);
      headers.emplace_back(std::move(key), std::move(value));
    }
    return headers;
  }

 private:
  void RecordError(const char* name) {
    if (error_.empty()) {
      error_ = absl::StrCat("field \"", name, "\" is missing or invalid");
    }
  }

  const Json* Find(const char* name) {
    const auto it = map_.find(name);
    if (it == map_.end()) {
      RecordError(name);
      return nullptr;
    }
    return &*it;
  }

  uint64_t NumberOf(const Json& value, const char* name, uint64_t max) {
    if (!value.is_number_unsigned() || value.get<uint64_t>() > max) {
      RecordError(name);
      return 0;
    }
    return value.get<uint64_t>();
  }

  std::string TextOf(const Json& value, const char* name, size_t max_bytes) {
    if (!value.is_string() ||
        value.get_ref<const std::string&>().size() > max_bytes) {
      RecordError(name);
      return "";
    }
    return value.get<std::string>();
  }

  PeerEndpoint EndpointOf(const Json& value, const char* name) {
    PeerEndpoint endpoint;
    endpoint.entry = EntryId(TextOf(value[0], name, kMaxIdBytes));
    endpoint.incarnation =
        NumberOf(value[1], name, std::numeric_limits<uint64_t>::max());
    endpoint.data_centre = DataCentreId(TextOf(value[2], name, kMaxIdBytes));
    endpoint.address = TextOf(value[3], name, kMaxIdBytes);
    if (endpoint.entry.empty() || endpoint.address.empty()) {
      RecordError(name);
    }
    return endpoint;
  }

  // Returns the items of a list; each item must be a list of `width` values.
  std::vector<const Json*> Items(const char* name, size_t width) {
    const Json* list = Find(name);
    std::vector<const Json*> items;
    if (list == nullptr || !list->is_array() || list->size() > kMaxListItems) {
      RecordError(name);
      return items;
    }
    for (const Json& item : *list) {
      if (!item.is_array() || item.size() != width) {
        RecordError(name);
        return {};
      }
      items.push_back(&item);
    }
    return items;
  }

  const Json& map_;
  std::string error_;
};

Json Binary(const std::string& bytes) {
  return Json::binary(
      Json::binary_t::container_type(bytes.begin(), bytes.end()));
}

Json ToJson(const PeerEndpoint& endpoint) {
  return Json::array({endpoint.entry.value(), endpoint.incarnation,
                      endpoint.data_centre.value(), endpoint.address});
}

Json ToJson(const std::vector<PeerEndpoint>& endpoints) {
  Json list = Json::array();
  for (const PeerEndpoint& endpoint : endpoints) {
    list.push_back(ToJson(endpoint));
  }
  return list;
}

template <typename Key, typename Value>
Json ToJson(const std::vector<std::pair<Key, Value>>& pairs) {
  Json list = Json::array();
  for (const auto& [key, value] : pairs) {
    // Negative counts are sent as 0, since they have no meaning to a peer.
    const Value sent = value < 0 ? 0 : value;
    list.push_back(Json::array({key.value(), static_cast<uint64_t>(sent)}));
  }
  return list;
}

Json HeadersToJson(
    const std::vector<std::pair<std::string, std::string>>& headers) {
  Json list = Json::array();
  for (const auto& [name, value] : headers) {
    list.push_back(Json::array({name, value}));
  }
  return list;
}

Json EncodeFields(const HelloMessage& hello) {
  return {{"e", ToJson(hello.self)}, {"p", ToJson(hello.peers)}};
}

PeerMessage ParseHello(FieldReader* reader) {
  HelloMessage hello;
  hello.self = reader->Endpoint("e");
  hello.peers = reader->Endpoints("p");
  return hello;
}

Json EncodeFields(const DigestMessage& message) {
  const PeerDigest& digest = message.digest;
  return {{"e", ToJson(PeerEndpoint{digest.entry, digest.incarnation,
                                    digest.data_centre, digest.address})},
          {"c", digest.config_revision},
          {"s", digest.stopping},
          {"f", ToJson(digest.free_slots)},
          {"fp", message.partial},
          {"l", ToJson(digest.leaving)},
          {"b", message.heartbeat},
          {"bs", Binary(message.heartbeats)},
          {"p", ToJson(message.peers)}};
}

PeerMessage ParseDigest(FieldReader* reader) {
  DigestMessage message;
  const PeerEndpoint self = reader->Endpoint("e");
  message.digest.entry = self.entry;
  message.digest.incarnation = self.incarnation;
  message.digest.data_centre = self.data_centre;
  message.digest.address = self.address;
  message.digest.config_revision = reader->Number("c");
  message.digest.stopping = reader->Flag("s");
  message.digest.free_slots = reader->Pairs<PoolId, int>("f");
  message.partial = reader->Flag("fp");
  message.digest.leaving = reader->Pairs<InstanceId, uint64_t>("l");
  message.heartbeat = reader->Number("b");
  message.heartbeats = reader->Bytes("bs");
  message.peers = reader->Endpoints("p");
  return message;
}

Json EncodeFields(const ConfigPullMessage& pull) {
  return {{"c", pull.revision}};
}

PeerMessage ParseConfigPull(FieldReader* reader) {
  return ConfigPullMessage{reader->Number("c")};
}

Json EncodeFields(const ConfigDeltaMessage& message) {
  return {{"from", message.delta.from_revision},
          {"to", message.delta.to_revision},
          {"d", Binary(message.delta.payload)}};
}

PeerMessage ParseConfigDelta(FieldReader* reader) {
  ConfigDeltaMessage message;
  message.delta.from_revision = reader->Number("from");
  message.delta.to_revision = reader->Number("to");
  message.delta.payload = reader->Bytes("d");
  return message;
}

Json EncodeFields(const LeavingMessage& message) {
  return {{"l", ToJson(message.leaving)}};
}

PeerMessage ParseLeaving(FieldReader* reader) {
  return LeavingMessage{reader->Pairs<InstanceId, uint64_t>("l")};
}

Json EncodeFields(const RelayRequestMessage& message) {
  const RelayRequest& request = message.request;
  return {{"id", message.id},
          {"p", request.project.value()},
          {"m", request.method},
          {"u", request.target},
          {"h", HeadersToJson(request.headers)},
          {"d", Binary(request.body)},
          {"ms", static_cast<uint64_t>(request.remaining.count())},
          {"n", static_cast<uint64_t>(request.hops)}};
}

PeerMessage ParseRelayRequest(FieldReader* reader) {
  RelayRequestMessage message;
  RelayRequest& request = message.request;
  message.id = reader->Number("id");
  request.project = ProjectId(reader->Text("p"));
  request.method = reader->Text("m");
  request.target = reader->Text("u", kMaxPeerMessageBytes);
  request.headers = reader->Headers("h");
  request.body = reader->Bytes("d");
  request.remaining =
      std::chrono::milliseconds(reader->Number("ms", kMaxRemainingMs));
  request.hops = static_cast<int>(reader->Number("n", kMaxHops));
  request.relay_id = message.id;
  return message;
}

Json EncodeFields(const RelayResponseMessage& message) {
  return {{"id", message.id},
          {"i", message.incarnation},
          {"st", static_cast<uint64_t>(message.response.status)},
          {"h", HeadersToJson(message.response.headers)},
          {"d", Binary(message.response.body)},
          {"nr", message.response.not_run},
          {"err", message.delivery_error}};
}

PeerMessage ParseRelayResponse(FieldReader* reader) {
  RelayResponseMessage message;
  message.id = reader->Number("id");
  message.incarnation = reader->Number("i");
  message.response.status = static_cast<int>(reader->Number("st", kMaxStatus));
  message.response.headers = reader->Headers("h");
  message.response.body = reader->Bytes("d");
  message.response.not_run = reader->Flag("nr");
  message.delivery_error = reader->Text("err", kMaxPeerMessageBytes);
  return message;
}

Json EncodeFields(const RelayCancelMessage& message) {
  return {{"id", message.id}};
}

PeerMessage ParseRelayCancel(FieldReader* reader) {
  return RelayCancelMessage{reader->Number("id")};
}

struct MessageType {
  const char* name;
  PeerMessage (*parse)(FieldReader* reader);
};

// Ordered like the alternatives of PeerMessage: indexed by the variant's index.
constexpr std::array<MessageType, std::variant_size_v<PeerMessage>>
    kMessageTypes = {{
        {"hello", ParseHello},
        {"digest", ParseDigest},
        {"config_pull", ParseConfigPull},
        {"config_delta", ParseConfigDelta},
        {"leaving", ParseLeaving},
        {"relay_request", ParseRelayRequest},
        {"relay_answer", ParseRelayResponse},
        {"relay_cancel", ParseRelayCancel},
    }};

tl::unexpected<Error> ParseError(ErrorCode code, std::string message) {
  return Fail(code, kParseStep, "", std::move(message));
}

}  // namespace

Result<std::string> FormatPeerMessage(const PeerMessage& message) {
  Json map = std::visit([](const auto& typed) { return EncodeFields(typed); },
                        message);
  map["v"] = kPeerProtocolVersion;
  map["t"] = kMessageTypes[message.index()].name;
  // Only relays have a response to match, so the id of other messages is 0.
  map.emplace("id", uint64_t{0});
  std::string bytes;
  Json::to_cbor(map, bytes);
  if (bytes.size() > kMaxPeerMessageBytes) {
    return Fail(
        ErrorCode::kInvalid, "peer.format", "",
        absl::StrCat("the message has ", bytes.size(), " bytes; at most ",
                     kMaxPeerMessageBytes, " are allowed"));
  }
  return bytes;
}

Result<PeerMessage> ParsePeerMessage(absl::string_view bytes) {
  if (bytes.size() > kMaxPeerMessageBytes) {
    return ParseError(ErrorCode::kInvalid, "the message is too large");
  }
  const Result<Json> map = ReadCbor(bytes, kMaxMessageDepth);
  if (!map) {
    return ParseError(ErrorCode::kInvalid, map.error().message);
  }
  if (!map->is_object()) {
    return ParseError(ErrorCode::kInvalid, "not a CBOR map");
  }
  FieldReader reader(*map);
  const uint64_t version = reader.Number("v");
  const std::string type = reader.Text("t");
  reader.Number("id");
  if (!reader.ok()) {
    return ParseError(ErrorCode::kInvalid, reader.error());
  }
  if (version != kPeerProtocolVersion) {
    return ParseError(ErrorCode::kNotFound,
                      absl::StrCat("unknown protocol version ", version));
  }
  for (const MessageType& known : kMessageTypes) {
    if (type == known.name) {
      PeerMessage message = known.parse(&reader);
      if (!reader.ok()) {
        return ParseError(ErrorCode::kInvalid,
                          absl::StrCat(type, ": ", reader.error()));
      }
      return message;
    }
  }
  return ParseError(ErrorCode::kNotFound,
                    absl::StrCat("unknown message type \"", type, "\""));
}

}  // namespace figflow
