#include <cstdio>
#include <fstream>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "known_red.h"

namespace figflow::test {
namespace {

class KnownRedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KnownRedTest);
  CPPUNIT_TEST(OnlyListedTestsArePassedOver);
  CPPUNIT_TEST(NothingIsListedWithoutAFile);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a list that passes over more than the tests that it names.
  void OnlyListedTestsArePassedOver() {
    const std::string path = absl::StrCat("known-red-test-", getpid(), ".txt");
    {
      std::ofstream file(path);
      file << "Text.\n\ntest: ATest::Fails\ntest: \nseen: BTest::Fails\n";
    }
    const std::set<std::string> known = ReadKnownRed(path);
    std::remove(path.c_str());
    CPPUNIT_ASSERT_EQUAL(size_t{1}, known.size());
    CPPUNIT_ASSERT(IsKnownRed(known, "figflow::ATest::Fails"));
    CPPUNIT_ASSERT(IsKnownRed(known, "ATest::Fails"));
    CPPUNIT_ASSERT(!IsKnownRed(known, "figflow::AATest::Fails"));
    CPPUNIT_ASSERT(!IsKnownRed(known, "figflow::ATest::FailsToo"));
    CPPUNIT_ASSERT(!IsKnownRed(known, "figflow::BTest::Fails"));
  }

  void NothingIsListedWithoutAFile() {
    CPPUNIT_ASSERT(ReadKnownRed("no-such-file.txt").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KnownRedTest);

}  // namespace
}  // namespace figflow::test
