#include "Pools/data_centre_document.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

namespace figflow {
namespace {

using nlohmann::json;

DataCentreDocument FullDocument() {
  DataCentreDocument document;
  document.data_centre = DataCentreId("a");
  document.write_id = "e1/1/7";
  document.change = 12;
  document.entries = {
      4,
      "e1/1/5",
      {{EntryId("e1"), 1, 0, MemberState::kActive}},
      {{EntryId("e1"), 1, 0, MemberState::kActive},
       {EntryId("e2"), 3, 2, MemberState::kDeclaredGoneByOperator}},
      {{EntryId("e2"), 4, 2, MemberState::kActive}}};
  InstanceRecord record{RackId("r"),
                        "127.0.0.1:80",
                        3,
                        8,
                        64,
                        InstanceStage::kDraining,
                        PoolId("p"),
                        ProjectId("pp"),
                        PoolId("q"),
                        ProjectId("qq"),
                        OperationId(),
                        "e1/1/6",
                        FromEpoch(std::chrono::milliseconds(55))};
  document.instances[InstanceId("w1")] = record;
  document.departed[InstanceId("w2")] = {
      2, PoolId("p"), ProjectId("pp"), FromEpoch(std::chrono::milliseconds(9))};
  document.ledger[ProjectId("pp")] = std::chrono::milliseconds(77);
  document.move_count = {20'000, {{PoolId("q"), 2}}};
  document.config_revision = 5;
  return document;
}

struct BadCase {
  // JSON pointer and replacement; null removes the field.
  const char* pointer;
  json value;
  // Part of the message.
  const char* message;
};

class DataCentreDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DataCentreDocumentTest);
  CPPUNIT_TEST(FormattedDocumentsParseToTheSame);
  CPPUNIT_TEST(BadDocumentsAreRefusedWithThePath);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a field that is lost on the way through the store.
  void FormattedDocumentsParseToTheSame() {
    const std::string text = FormatDataCentreDocument(FullDocument());
    const auto parsed = ParseDataCentreDocument(text);
    CPPUNIT_ASSERT_MESSAGE(parsed ? "" : ToString(parsed.error()),
                           parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(text, FormatDataCentreDocument(*parsed));
    const Confirmation confirmation{
        EntryId("e1"), 1, "e1/1/5", {{InstanceId("w1"), "e1/1/6"}}};
    const std::string confirm_text = FormatConfirmation(confirmation);
    CPPUNIT_ASSERT_EQUAL(confirm_text,
                         FormatConfirmation(*ParseConfirmation(confirm_text)));
  }

  // Guards against a later version, or a damaged document, being taken for a
  // valid one and then written back without what was not understood.
  void BadDocumentsAreRefusedWithThePath() {
    const BadCase cases[] = {
        {"/version", 2, "$.version: is not an integer in range"},
        {"/version", nullptr, "$.version: is not an integer in range"},
        {"/change", -1, "$.change: is not in"},
        {"/change", 1.5, "$.change: is not an integer"},
        {"/write_id", "", "$.write_id: is empty"},
        {"/extra", 1, "$.extra: is an unknown field"},
        {"/entries/epoch", nullptr, "$.entries.epoch"},
        {"/entries/current/1/state", "odd", "unknown value odd"},
        {"/entries/current/1/id", "a", "is not sorted"},
        {"/instances/0/slots", 5'000'000'000, "$.instances[0].slots"},
        {"/instances/0/stage", "active", "names a destination"},
        {"/instances/0/drain_id", "", "has a drain id"},
        {"/instances/0/operation", "o", "names an operation"},
        {"/instances/0/since", -5, "$.instances[0].since"},
        {"/departed", 3, "$.departed: is not an array"},
        {"/ledger/0/ms", "7", "$.ledger[0].ms"},
    };
    for (const BadCase& c : cases) {
      json root = json::parse(FormatDataCentreDocument(FullDocument()));
      const json::json_pointer pointer(c.pointer);
      if (c.value.is_null()) {
        root[pointer.parent_pointer()].erase(pointer.back());
      } else {
        root[pointer] = c.value;
      }
      const auto parsed = ParseDataCentreDocument(root.dump());
      CPPUNIT_ASSERT_MESSAGE(c.pointer, !parsed.has_value());
      CPPUNIT_ASSERT_MESSAGE(
          parsed.error().message,
          parsed.error().message.find(c.message) != std::string::npos);
    }
    for (const char* text : {"", "{", "[]", "null", "\xff"}) {
      CPPUNIT_ASSERT(!ParseDataCentreDocument(text).has_value());
      CPPUNIT_ASSERT(!ParseConfirmation(text).has_value());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DataCentreDocumentTest);

}  // namespace
}  // namespace figflow
