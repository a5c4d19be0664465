#include "Settings/settings_file.h"

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figflow {
namespace {

class SettingsFileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsFileTest);
  CPPUNIT_TEST(WrittenAndReplacedFilesAreNoticedOnce);
  CPPUNIT_TEST(MissingFileIsNoChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    path_ = "/tmp/figflow_settings_XXXXXX";
    const int fd = mkstemp(path_.data());
    CPPUNIT_ASSERT(fd >= 0);
    close(fd);
  }
  void tearDown() override { unlink(path_.c_str()); }

  // Guards against settings that are taken up only with a signal, which the
  // platform does not always send.
  void WrittenAndReplacedFilesAreNoticedOnce() {
    SettingsFileWatch watch(path_);
    CPPUNIT_ASSERT(!watch.Changed());
    std::ofstream(path_) << "longer";
    CPPUNIT_ASSERT(watch.Changed());
    CPPUNIT_ASSERT(!watch.Changed());
    const std::string other = path_ + ".new";
    std::ofstream(other) << "longer";
    CPPUNIT_ASSERT_EQUAL(0, std::rename(other.c_str(), path_.c_str()));
    CPPUNIT_ASSERT(watch.Changed());
    CPPUNIT_ASSERT(!watch.Changed());
  }

  // A file that is replaced by removing it first is read when it is back.
  void MissingFileIsNoChange() {
    SettingsFileWatch watch(path_);
    CPPUNIT_ASSERT_EQUAL(0, unlink(path_.c_str()));
    CPPUNIT_ASSERT(!watch.Changed());
    std::ofstream(path_) << "back";
    CPPUNIT_ASSERT(watch.Changed());
  }

 private:
  std::string path_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsFileTest);

}  // namespace
}  // namespace figflow
