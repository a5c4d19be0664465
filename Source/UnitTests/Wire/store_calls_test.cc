// Calls to the store, through a transport that answers from a table.
#include <chrono>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include "Common/json.h"

#include "Common/metrics.h"
#include "Wire/table_transport.h"
#include "absl/strings/str_cat.h"
#include "store_client.h"

namespace figflow::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

class StoreCallsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreCallsTest);
  CPPUNIT_TEST(CommitIsSentAndRead);
  CPPUNIT_TEST(CommitOutcomesByTable);
  CPPUNIT_TEST(RefusedCommitShowsTheKeys);
  CPPUNIT_TEST(WatchAndRange);
  CPPUNIT_TEST(UnreadableRowHidesNoOther);
  CPPUNIT_TEST(ChangesAboveTheirLimitAreToldAsTooLarge);
  CPPUNIT_TEST_SUITE_END();

 public:
  StoreCallsTest() : store_("1.1.1.1:1", transport_, clock_, metrics_) {}

  void CommitIsSentAndRead() {
    transport_.body = R"({"Revision":412})";
    Transaction transaction;
    transaction.expected = {{"a", 0}};
    transaction.writes = {{"a", std::string("\0\xff", 2), 77}};
    transaction.removals = {"b"};
    const Result<TransactionResult> result = Commit(transaction);
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(result->committed);
    CPPUNIT_ASSERT_EQUAL(uint64_t{412}, result->revision);
    const json body = transport_.LastBody();
    CPPUNIT_ASSERT_EQUAL(std::string("AP8="),
                         body["Puts"][0]["Value"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(77, body["Puts"][0]["Lease"].get<int>());
    CPPUNIT_ASSERT_EQUAL(0, body["ExpectedRev"][0]["Revision"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         body["Remove"][0].get<std::string>());
  }

  // What a caller of the store may conclude from each answer.
  void CommitOutcomesByTable() {
    struct Case {
      int status;
      bool sent;
      const char* body;
      ErrorCode code;
    };
    const Case cases[] = {
        {503, true, "", ErrorCode::kUnavailable},
        {429, true, "", ErrorCode::kUnavailable},
        {408, true, "", ErrorCode::kUnavailable},
        // The same call would get the same response.
        {400, true, "", ErrorCode::kRefused},
        {403, true, "", ErrorCode::kRefused},
        {413, true, "", ErrorCode::kRefused},
        {0, false, "", ErrorCode::kUnavailable},
        {0, true, "", ErrorCode::kUnknownOutcome},
        {404, true, "", ErrorCode::kNotFound},
        // It may have taken effect.
        {200, true, "garbage", ErrorCode::kUnknownOutcome},
        {200, true, "{}", ErrorCode::kUnknownOutcome},
    };
    for (const Case& test : cases) {
      transport_.status = test.status;
      transport_.sent = test.sent;
      transport_.body = test.body;
      const Result<TransactionResult> result = Commit({});
      CPPUNIT_ASSERT(!result.has_value());
      CPPUNIT_ASSERT(result.error().code == test.code);
    }
  }

  void RefusedCommitShowsTheKeys() {
    transport_.status = 412;
    transport_.body =
        R"({"items":[{"Key":"a","Value":"eA==","Revision":5,"Created":5,)"
        R"("Lease":0},{"Key":"b","Revision":0}]})";
    const Result<TransactionResult> result = Commit({});
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(!result->committed);
    // A key that does not exist is not listed.
    CPPUNIT_ASSERT_EQUAL(size_t{1}, result->current.size());
    CPPUNIT_ASSERT_EQUAL(std::string("x"), result->current[0].value);
  }

  void WatchAndRange() {
    transport_.body =
        R"({"events":[{"Key":"k/1","Value":"eA==","Revision":9},)"
        R"({"Key":"k/2","Revision":10,"Tombstone":true}],"StoreRevision":10})";
    Result<StoreChanges> changes = Fail(ErrorCode::kInternal, "", "", "");
    store_.Watch({"k/", 8, milliseconds(100)},
                 [&](const Result<StoreChanges>& result) { changes = result; });
    CPPUNIT_ASSERT(changes.has_value());
    CPPUNIT_ASSERT(!changes->changes[0].removed);
    CPPUNIT_ASSERT(changes->changes[1].removed);
    CPPUNIT_ASSERT_EQUAL(transport_.body.size(), changes->cost.bytes);
    transport_.status = 410;
    store_.Watch({"k/", 8, milliseconds(100)},
                 [&](const Result<StoreChanges>& result) { changes = result; });
    CPPUNIT_ASSERT(changes->history_lost);
    transport_.status = 200;
    transport_.body = R"({"items":[{"Key":"k/1","Value":"!!","Revision":9}],)"
                      R"("Truncated":true,"StoreRevision":11})";
    Result<RangePage> page = Fail(ErrorCode::kInternal, "", "", "");
    store_.Range("k/", "k/0 &", milliseconds(100),
                 [&](const Result<RangePage>& result) { page = result; });
    CPPUNIT_ASSERT(page->truncated);
    CPPUNIT_ASSERT_EQUAL(transport_.body.size(), page->cost.bytes);
    // Bytes that are no base64 are an empty value, which no decoder takes.
    CPPUNIT_ASSERT(page->items[0].value.empty());
    CPPUNIT_ASSERT(transport_.requests.back().target.find("After=k/0%20%26") !=
                   std::string::npos);
  }

  // Guards against a follower that learns of nothing any more because of one
  // row.
  void UnreadableRowHidesNoOther() {
    for (const char* odd :
         {"7", "null", "[]", R"({"Key":7,"Value":"eA==","Revision":9})",
          R"({"Key":"k/0","Value":"eA==","Revision":"9"})",
          R"({"Key":"k/0","Value":"eA==","Revision":-9})",
          R"({"Key":"k/0","Value":7,"Revision":9})",
          R"({"Key":"k/0","Value":"eA==","Revision":9,"Lease":[]})",
          R"({"Value":"eA==","Revision":9})"}) {
      transport_.body = absl::StrCat(
          R"({"items":[)", odd,
          R"(,{"Key":"k/1","Value":"eA==","Revision":9}],)", R"("events":[)",
          odd,
          R"(,{"Key":"k/1","Value":"eA==","Revision":9}],"StoreRevision":11})");
      Result<RangePage> page = Fail(ErrorCode::kInternal, "", "", "");
      store_.Range("k/", "", milliseconds(100),
                   [&](const Result<RangePage>& result) { page = result; });
      CPPUNIT_ASSERT_MESSAGE(odd, page.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string("k/1"),
                                   page->items.back().key);
      Result<StoreChanges> changes = Fail(ErrorCode::kInternal, "", "", "");
      store_.Watch(
          {"k/", 8, milliseconds(100)},
          [&](const Result<StoreChanges>& result) { changes = result; });
      CPPUNIT_ASSERT_MESSAGE(odd, changes.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::string("x"),
                                   changes->changes.back().value);
    }
  }

  // Guards against a follower that asks for the same changes again and again.
  void ChangesAboveTheirLimitAreToldAsTooLarge() {
    transport_.status = 0;
    transport_.error = ErrorCode::kResourceExhausted;
    Result<StoreChanges> changes = Fail(ErrorCode::kInternal, "", "", "");
    WatchCall call;
    call.prefix = "k/";
    call.max_answer_bytes = 1'000;
    const uint64_t id = store_.Watch(
        call, [&](const Result<StoreChanges>& result) { changes = result; });
    CPPUNIT_ASSERT_EQUAL(size_t{1'000}, transport_.max_answer_bytes);
    store_.EndIfSilent(id);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, transport_.cancelled);
    CPPUNIT_ASSERT(transport_.stall_time > milliseconds(0));
    CPPUNIT_ASSERT(changes.has_value());
    CPPUNIT_ASSERT(changes->too_large);
  }

 private:
  Result<TransactionResult> Commit(const Transaction& transaction) {
    Result<TransactionResult> read = Fail(ErrorCode::kInternal, "", "", "");
    store_.Commit(
        transaction, milliseconds(100),
        [&](const Result<TransactionResult>& result) { read = result; });
    return read;
  }

  SystemClock clock_;
  MetricsRegistry metrics_;
  TableTransport transport_;
  wire::StoreClient store_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreCallsTest);

}  // namespace
}  // namespace figflow::test
