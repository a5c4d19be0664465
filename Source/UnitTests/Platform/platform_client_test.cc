#include "Platform/platform_client.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Platform/platform_fixture.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;
using test::CodeOf;

constexpr milliseconds kClientTimeout{2'000};

// Answers the first request on its first connection and closes that connection
// after reading the second. Further connections get complete answers.
class DyingServer {
 public:
  DyingServer() : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* plain = reinterpret_cast<sockaddr*>(&address);
    CPPUNIT_ASSERT_EQUAL(0, bind(socket_, plain, size));
    CPPUNIT_ASSERT_EQUAL(0, listen(socket_, 4));
    getsockname(socket_, plain, &size);
    address_ = absl::StrCat("127.0.0.1:", ntohs(address.sin_port));
    thread_ = std::thread([this] { Serve(); });
  }
  ~DyingServer() {
    shutdown(socket_, SHUT_RDWR);
    thread_.join();
    close(socket_);
  }
  const std::string& address() const { return address_; }
  int requests() const { return requests_; }

 private:
  void Serve() {
    for (int connection = 0;; ++connection) {
      const int peer = accept(socket_, nullptr, nullptr);
      if (peer < 0) {
        return;
      }
      char buffer[4'096];
      for (int i = 0; recv(peer, buffer, sizeof(buffer), 0) > 0; ++i) {
        ++requests_;
        if (connection == 0 && i == 1) {
          break;
        }
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
        (void)send(peer, answer.data(), answer.size(), MSG_NOSIGNAL);
      }
      close(peer);
    }
  }

  int socket_;
  std::string address_;
  std::atomic<int> requests_{0};
  std::thread thread_;
};

class PlatformClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformClientTest);
  CPPUNIT_TEST(WritesAreNotResentOnANewConnection);
  CPPUNIT_TEST(RefusedConnectionHasNoEffect);
  CPPUNIT_TEST(StatusTellsWhetherTheCallTookEffect);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against libcurl sending a write twice by itself when a reused
  // connection dies before the answer.
  void WritesAreNotResentOnANewConnection() {
    struct Case {
      CallEffect effect;
      const char* code;
      int requests;
    };
    for (const Case& c : {Case{CallEffect::kWrite, "unknown-outcome", 2},
                          Case{CallEffect::kRead, "ok", 3}}) {
      DyingServer server;
      MetricsRegistry metrics;
      PlatformClient client(server.address(), metrics);
      const PlatformCall call{
          "kv.test", c.effect, "/", {{"a", 1}}, kClientTimeout};
      CPPUNIT_ASSERT_EQUAL(std::string("ok"), CodeOf(client.Call(call)));
      CPPUNIT_ASSERT_EQUAL(std::string(c.code), CodeOf(client.Call(call)));
      CPPUNIT_ASSERT_EQUAL(c.requests, server.requests());
    }
  }

  // Guards against operators being told "unknown" when nothing can have
  // happened.
  void RefusedConnectionHasNoEffect() {
    MetricsRegistry metrics;
    PlatformClient client("127.0.0.1:1", metrics);
    for (const CallEffect effect : {CallEffect::kWrite, CallEffect::kRead}) {
      CPPUNIT_ASSERT_EQUAL(
          std::string("unavailable"),
          CodeOf(client.Call(
              {"kv.test", effect, "/", {{"a", 1}}, kClientTimeout})));
    }
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2},
        metrics.GetCounter("figflow_platform_calls_total{kind=\"kv.test\"}")
            .value());
    CPPUNIT_ASSERT_EQUAL(
        uint64_t{2}, metrics
                         .GetCounter("figflow_platform_errors_total{kind=\"kv."
                                     "test\",code=\"unavailable\"}")
                         .value());
  }

  void StatusTellsWhetherTheCallTookEffect() {
    struct Case {
      long status;
      ErrorCode write;
      ErrorCode read;
    };
    for (const Case& c :
         {Case{503, ErrorCode::kUnavailable, ErrorCode::kUnavailable},
          Case{429, ErrorCode::kUnavailable, ErrorCode::kUnavailable},
          Case{500, ErrorCode::kUnknownOutcome, ErrorCode::kUnavailable},
          Case{502, ErrorCode::kUnknownOutcome, ErrorCode::kUnavailable},
          Case{204, ErrorCode::kUnknownOutcome, ErrorCode::kUnavailable},
          Case{409, ErrorCode::kConflict, ErrorCode::kConflict},
          Case{413, ErrorCode::kInvalid, ErrorCode::kInvalid}}) {
      CPPUNIT_ASSERT(StatusCode(CallEffect::kWrite, c.status) == c.write);
      CPPUNIT_ASSERT(StatusCode(CallEffect::kRead, c.status) == c.read);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

}  // namespace
}  // namespace figflow
