#include "Platform/key_value_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Support/fake_key_value_store.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::FakeKeyValueStore;
using WriteFault = FakeKeyValueStore::WriteFault;

constexpr milliseconds kStoreTimeout{100};

bool SameValue(absl::string_view stored, absl::string_view written) {
  return stored == written;
}

struct SettledCase {
  const char* name;
  WriteFault fault;
  bool racing_writer;
  // Empty when the write is expected to succeed.
  const char* error;
};

constexpr SettledCase kSettledCases[] = {
    {"no fault", WriteFault::kNone, false, ""},
    {"answer lost after the write", WriteFault::kAnswerLost, false, ""},
    {"request lost", WriteFault::kRequestLost, false, "unknown-outcome"},
    {"racing writer wins", WriteFault::kNone, true, "conflict"},
    {"request lost and racing writer", WriteFault::kRequestLost, true,
     "conflict"},
};

class KeyValueStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyValueStoreTest);
  CPPUNIT_TEST(LostAnswersAreSettledByReadingBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against reporting another writer's value, or a lost request, as
  // this writer's success.
  void LostAnswersAreSettledByReadingBack() {
    for (const SettledCase& c : kSettledCases) {
      FakeKeyValueStore store;
      if (c.racing_writer) {
        store.BeforeNextWrite([&store] {
          (void)store.CompareAndSwap("k", 0, "other", kStoreTimeout);
        });
      }
      // The racing write runs first and must not consume the fault.
      if (!c.racing_writer) {
        store.QueueWriteFault(c.fault);
      } else {
        store.QueueWriteFault(WriteFault::kNone);
        store.QueueWriteFault(c.fault);
      }
      const Result<uint64_t> written = CompareAndSwapSettled(
          store, "k", 0, "mine", kStoreTimeout, SameValue);
      const std::string error =
          written ? "" : std::string(ErrorCodeName(written.error().code));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.error), error);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyValueStoreTest);

}  // namespace
}  // namespace figflow
