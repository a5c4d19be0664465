// What keeps the log from slowing down the daemon.
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/log_limiter.h"
#include "Common/log_sink.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(FullPipeLosesLinesAndBlocksNobody);
  CPPUNIT_TEST(LongLineIsCut);
  CPPUNIT_TEST(KindsAreLimitedApart);
  CPPUNIT_TEST(LeftOutLinesAreCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { CPPUNIT_ASSERT_EQUAL(0, pipe(pipe_.data())); }
  void tearDown() override {
    close(pipe_[0]);
    close(pipe_[1]);
  }

  // Guards against a daemon that stands still because nobody reads its log.
  void FullPipeLosesLinesAndBlocksNobody() {
    LogSink sink(pipe_[1]);
    const std::string line(1'000, 'x');
    int written = 0;
    while (written < 1'000 && sink.Write(line)) {
      ++written;
    }
    // Blocked for good otherwise: the pipe holds 64 KB.
    CPPUNIT_ASSERT(written > 10 && written < 100);
    CPPUNIT_ASSERT_EQUAL(uint64_t{1}, sink.dropped());
    std::array<char, 32'768> read_bytes{};
    CPPUNIT_ASSERT(read(pipe_[0], read_bytes.data(), read_bytes.size()) > 0);
    CPPUNIT_ASSERT(sink.Write(line));
  }

  void LongLineIsCut() {
    LogSink sink(pipe_[1]);
    CPPUNIT_ASSERT(sink.Write(std::string(10'000, 'x') + "\n"));
    std::array<char, 8'192> bytes{};
    const ssize_t count = read(pipe_[0], bytes.data(), bytes.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(LogSink::kLongestLine), count);
    CPPUNIT_ASSERT_EQUAL('\n', bytes[static_cast<size_t>(count) - 1]);
  }

  // Guards against a frequent kind that hides a rare one.
  void KindsAreLimitedApart() {
    LogLimiter limiter;
    const MonoTime now;
    for (int i = 0; i < 10'000; ++i) {
      limiter.Admit("frequent", now);
    }
    CPPUNIT_ASSERT(!limiter.Admit("frequent", now));
    CPPUNIT_ASSERT(limiter.Admit("rare", now).has_value());
  }

  void LeftOutLinesAreCounted() {
    LogLimiter limiter;
    MonoTime now;
    uint64_t logged = 0;
    uint64_t omitted = 0;
    for (int i = 0; i < 10'000; ++i) {
      now += milliseconds(1);
      if (const std::optional<uint64_t> left_out = limiter.Admit("e", now)) {
        ++logged;
        omitted += *left_out;
      }
    }
    // 10 s at the long-run rate, and the burst.
    CPPUNIT_ASSERT(logged <=
                   10 * LogLimiter::kLinesPerSecond + LogLimiter::kBurst + 1);
    CPPUNIT_ASSERT(logged >= 10 * LogLimiter::kLinesPerSecond);
    const std::optional<uint64_t> last = limiter.Admit("e", now + seconds(1));
    CPPUNIT_ASSERT(last.has_value());
    CPPUNIT_ASSERT_EQUAL(uint64_t{10'001}, logged + omitted + *last + 1);
    CPPUNIT_ASSERT_EQUAL(limiter.omitted(), omitted + *last);
  }

 private:
  std::array<int, 2> pipe_{};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

}  // namespace
}  // namespace figflow
