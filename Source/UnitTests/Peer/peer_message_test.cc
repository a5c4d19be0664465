#include "Peer/peer_message.h"

#include <functional>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include "Common/json.h"

namespace figflow {
namespace {

using Json = nlohmann::json;

PeerEndpoint MakeEndpoint() {
  return PeerEndpoint{EntryId("e1"), 1764840000123, DataCentreId("d"),
                      "1.2.3.4:5"};
}

PeerMessage Digest() {
  DigestMessage message;
  message.digest.entry = EntryId("e1");
  message.digest.incarnation = 7;
  message.digest.address = "1.2.3.4:5";
  message.digest.config_revision = 9;
  message.digest.free_slots = {{PoolId("p"), 3}, {PoolId("q"), 0}};
  message.digest.leaving = {{InstanceId("i"), 12}};
  message.heartbeat = 4;
  message.heartbeats = std::string("\x00\xff", 2);
  message.peers = {MakeEndpoint()};
  return message;
}

PeerMessage Request() {
  RelayRequest request;
  request.project = ProjectId("p");
  request.method = "POST";
  request.target = "/p/p/x?y";
  request.headers = {{"A", "b"}, {"A", "\xff"}};
  request.body = std::string("\x00\xfe", 2);
  request.remaining = std::chrono::milliseconds(250);
  request.hops = 1;
  return RelayRequestMessage{11, request};
}

PeerMessage MakeResponse() {
  return RelayResponseMessage{
      11, 7, RelayResponse{200, {{"H", "v"}}, std::string("\x00", 1), true},
      "f"};
}

const PeerMessage kMessages[] = {
    HelloMessage{MakeEndpoint(), {MakeEndpoint(), MakeEndpoint()}},
    Digest(),
    ConfigPullMessage{5},
    ConfigDeltaMessage{ConfigDelta{5, 6, "payload"}},
    LeavingMessage{{{InstanceId("i"), 3}}},
    Request(),
    MakeResponse(),
    RelayCancelMessage{11},
};

// A change that makes a valid message invalid; `message` is an index of
// kMessages.
struct BadCase {
  const char* name;
  size_t message;
  std::function<void(Json&)> change;
  ErrorCode code;
};

const BadCase kBadCases[] = {
    {"version 2", 2, [](Json& m) { m["v"] = 2; }, ErrorCode::kNotFound},
    {"no version", 2, [](Json& m) { m.erase("v"); }, ErrorCode::kInvalid},
    {"unknown type", 2, [](Json& m) { m["t"] = "x"; }, ErrorCode::kNotFound},
    {"type is a number", 2, [](Json& m) { m["t"] = 1; }, ErrorCode::kInvalid},
    {"no id", 5, [](Json& m) { m.erase("id"); }, ErrorCode::kInvalid},
    {"negative id", 5, [](Json& m) { m["id"] = -1; }, ErrorCode::kInvalid},
    {"hello without entry", 0, [](Json& m) { m["e"][0] = ""; },
     ErrorCode::kInvalid},
    {"hello without address", 0, [](Json& m) { m["e"][3] = ""; },
     ErrorCode::kInvalid},
    {"short hint", 0, [](Json& m) { m["p"][0].erase(3); }, ErrorCode::kInvalid},
    {"long id", 0, [](Json& m) { m["e"][0] = std::string(201, 'x'); },
     ErrorCode::kInvalid},
    {"revision as text", 1, [](Json& m) { m["c"] = "9"; }, ErrorCode::kInvalid},
    {"stopping as number", 1, [](Json& m) { m["s"] = 1; }, ErrorCode::kInvalid},
    {"slots beyond int", 1, [](Json& m) { m["f"][0][1] = 1ULL << 40; },
     ErrorCode::kInvalid},
    {"slots as map", 1,
     [](Json& m) {
       m["f"] = {{"p", 1}};
     },
     ErrorCode::kInvalid},
    {"beats as text", 1, [](Json& m) { m["bs"] = "x"; }, ErrorCode::kInvalid},
    {"body as text", 5, [](Json& m) { m["d"] = "x"; }, ErrorCode::kInvalid},
    {"body missing", 5, [](Json& m) { m.erase("d"); }, ErrorCode::kInvalid},
    {"remaining of a year", 5, [](Json& m) { m["ms"] = 31536000000; },
     ErrorCode::kInvalid},
    {"hops", 5, [](Json& m) { m["n"] = 17; }, ErrorCode::kInvalid},
    {"header as text", 5, [](Json& m) { m["h"][0] = "A: b"; },
     ErrorCode::kInvalid},
    {"status", 6, [](Json& m) { m["st"] = 600; }, ErrorCode::kInvalid},
    {"disposition missing", 6, [](Json& m) { m.erase("nr"); },
     ErrorCode::kInvalid},
    {"not a map", 2, [](Json& m) { m = Json::array({1}); },
     ErrorCode::kInvalid},
};

class PeerMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMessageTest);
  CPPUNIT_TEST(RoundTripKeepsEveryField);
  CPPUNIT_TEST(InvalidFieldsAreRefused);
  CPPUNIT_TEST(DamagedBytesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is lost, renamed or truncated at a zero byte.
  void RoundTripKeepsEveryField() {
    for (const PeerMessage& message : kMessages) {
      const std::string bytes = *FormatPeerMessage(message);
      const Result<PeerMessage> parsed = ParsePeerMessage(bytes);
      CPPUNIT_ASSERT(parsed);
      CPPUNIT_ASSERT_EQUAL(message.index(), parsed->index());
      CPPUNIT_ASSERT(bytes == *FormatPeerMessage(*parsed));
    }
    const auto parsed = *ParsePeerMessage(*FormatPeerMessage(Request()));
    const auto& request = std::get<RelayRequestMessage>(parsed).request;
    CPPUNIT_ASSERT_EQUAL(uint64_t{11}, request.relay_id);
    CPPUNIT_ASSERT_EQUAL(size_t{2}, request.body.size());
  }

  // Guards against the use of fields that are not validated.
  void InvalidFieldsAreRefused() {
    for (const BadCase& c : kBadCases) {
      Json map = Json::from_cbor(*FormatPeerMessage(kMessages[c.message]));
      c.change(map);
      std::string bytes;
      Json::to_cbor(map, bytes);
      const Result<PeerMessage> parsed = ParsePeerMessage(bytes);
      CPPUNIT_ASSERT_MESSAGE(c.name, !parsed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          c.name, std::string(ErrorCodeName(c.code)),
          std::string(ErrorCodeName(parsed.error().code)));
    }
  }

  // Guards against crashes and stack exhaustion by hostile input: truncation at
  // each byte, a change of each byte, deep nesting and huge lengths.
  void DamagedBytesAreRefused() {
    const std::string bytes = *FormatPeerMessage(Digest());
    for (size_t i = 0; i < bytes.size(); ++i) {
      CPPUNIT_ASSERT(!ParsePeerMessage(bytes.substr(0, i)));
      std::string changed = bytes;
      for (const char c : {'\x00', '\x9f', '\xbf', '\xff'}) {
        changed[i] = c;
        (void)ParsePeerMessage(changed);
      }
    }
    CPPUNIT_ASSERT(!ParsePeerMessage(bytes + "x"));
    CPPUNIT_ASSERT(!ParsePeerMessage(std::string(1'000'000, '\x81')));
    CPPUNIT_ASSERT(!ParsePeerMessage("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"));
    CPPUNIT_ASSERT(!ParsePeerMessage(std::string(kMaxPeerMessageBytes + 1, 0)));
    CPPUNIT_ASSERT(!FormatPeerMessage(ConfigDeltaMessage{
        ConfigDelta{0, 1, std::string(kMaxPeerMessageBytes, 'x')}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMessageTest);

}  // namespace
}  // namespace figflow
