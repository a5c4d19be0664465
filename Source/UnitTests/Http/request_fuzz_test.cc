// Seeded requests, whole and damaged, in slow, split and cut pieces.
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <thread>

#include "Common/metrics.h"
#include "Http/connection_monitor.h"
#include "Http/http_server.h"
#include "Http/raw_socket.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace figflow {
namespace {

using std::chrono::milliseconds;

constexpr uint64_t kSeeds = 600;
constexpr size_t kMostBody = 2'000;
constexpr int kMostPieces = 6;
constexpr milliseconds kPieceGap{2};

struct Input {
  std::string bytes;
  // What the handler has to get; unless whole, it may get anything.
  std::string body;
  bool whole = true;
};

class Generator {
 public:
  explicit Generator(uint64_t seed) : random_(seed) {}

  size_t Below(size_t end) {
    return std::uniform_int_distribution<size_t>(0, end - 1)(random_);
  }

  Input Make() {
    Input input;
    const size_t size = Below(kMostBody + 1);
    for (size_t i = 0; i < size; ++i) {
      input.body += static_cast<char>(Below(256));
    }
    input.bytes = "POST /p HTTP/1.1\r\nHost: a\r\n";
    for (size_t i = Below(20); i > 0; --i) {
      absl::StrAppend(&input.bytes, "f", i, ": ", std::string(Below(100), 'v'),
                      "\r\n");
    }
    if (Below(4) == 0) {
      absl::StrAppend(&input.bytes, "Content-Length: ", size, "\r\n\r\n",
                      input.body);
    } else {
      AppendChunks(&input);
    }
    Damage(&input);
    return input;
  }

 private:
  void AppendChunks(Input* input) {
    input->bytes += "Transfer-Encoding: chunked\r\n\r\n";
    const size_t most = size_t{1} << Below(12);
    for (size_t done = 0; done < input->body.size();) {
      const size_t size = std::min(input->body.size() - done, 1 + Below(most));
      absl::StrAppend(&input->bytes, absl::Hex(size),
                      Below(8) == 0 ? ";x=y" : "", "\r\n",
                      input->body.substr(done, size), "\r\n");
      done += size;
    }
    input->bytes += "0\r\n\r\n";
  }

  void Damage(Input* input) {
    switch (Below(5)) {
      case 0:
        input->bytes.resize(Below(input->bytes.size()));
        break;
      case 1:
        input->bytes[Below(input->bytes.size())] =
            static_cast<char>(Below(256));
        break;
      case 2:
        input->bytes.insert(Below(input->bytes.size()),
                            std::string(1 + Below(50), "\r\n0f:;"[Below(6)]));
        break;
      case 3:
        input->bytes.erase(Below(input->bytes.size()), 1 + Below(20));
        break;
      default:
        return;
    }
    input->whole = false;
  }

  std::mt19937_64 random_;
};

class RequestFuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFuzzTest);
  CPPUNIT_TEST(SeededRequests);
  CPPUNIT_TEST(KeptInputs);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    // A fraction of what the inputs hold, so that reading is paused as well.
    monitor_ = std::make_unique<ConnectionMonitor>(
        4 * BytesPerConnection(kMostHeader) + kMostBody, metrics_);
    HttpServerOptions options;
    options.limits.max_body_bytes = kMostBody;
    options.limits.max_header_bytes = kMostHeader;
    options.limits.arrival = {milliseconds(1'000), milliseconds(1'000)};
    options.monitor = monitor_.get();
    options.name = "fuzz";
    server_ = *HttpServer::Start(
        options,
        [this](const HttpRequest& request,
               const std::shared_ptr<HttpExchange>& exchange) {
          too_large_ = too_large_ || request.body.size() > kMostBody;
          exchange->Respond({200, {}, request.body + "end!"});
        },
        metrics_);
  }
  void tearDown() override {
    server_.reset();
    monitor_.reset();
  }

  // Guards against a reader that ends the process, hangs, passes on another
  // body than was sent, or keeps what it reserved.
  void SeededRequests() {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Generator generator(seed);
      const Input input = generator.Make();
      RawClient client(server_->port());
      SendSplit(client, input.bytes, generator);
      if (input.whole) {
        const std::string response = client.ReadUntil("end!");
        CPPUNIT_ASSERT_MESSAGE(Described(seed, input.bytes),
                               response.find("\r\n\r\n" + input.body +
                                             "end!") != std::string::npos);
      }
    }
    CheckServer("after all seeds");
  }

  // Guards against the return of a fault: inputs that once failed.
  void KeptInputs() {
    size_t inputs = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator(FIGFLOW_HTTP_CORPUS)) {
      std::ifstream file(entry.path(), std::ios::binary);
      const std::string bytes((std::istreambuf_iterator<char>(file)),
                              std::istreambuf_iterator<char>());
      for (uint64_t seed = 1; seed <= 5; ++seed) {
        Generator generator(seed);
        RawClient client(server_->port());
        SendSplit(client, bytes, generator);
      }
      CheckServer(entry.path().filename().string());
      ++inputs;
    }
    CPPUNIT_ASSERT(inputs > 0);
  }

 private:
  static constexpr size_t kMostHeader = 4'096;

  static std::string Described(uint64_t seed, const std::string& bytes) {
    return absl::StrCat("seed ", seed, ": ", absl::CEscape(bytes));
  }

  static void SendSplit(const RawClient& client,
                        const std::string& bytes,
                        Generator& generator) {
    size_t done = 0;
    for (size_t pieces = 1 + generator.Below(kMostPieces);
         pieces > 1 && done < bytes.size(); --pieces) {
      const size_t size = 1 + generator.Below(bytes.size() - done);
      client.Send(bytes.substr(done, size));
      done += size;
      std::this_thread::sleep_for(kPieceGap);
    }
    client.Send(bytes.substr(done));
  }

  void CheckServer(const std::string& when) {
    CPPUNIT_ASSERT_MESSAGE(when, !too_large_);
    {
      RawClient client(server_->port());
      client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      CPPUNIT_ASSERT_MESSAGE(
          when, client.ReadUntil("end!").find("HTTP/1.1 200") == 0);
    }
    CPPUNIT_ASSERT_MESSAGE(when, server_->WaitIdle(milliseconds(3'000)));
    const Gauge& reserved = metrics_.GetGauge("figflow_http_reserved_bytes");
    for (int i = 0; i < 300 && reserved.value() != 0; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(when, int64_t{0}, reserved.value());
  }

  MetricsRegistry metrics_;
  std::atomic<bool> too_large_{false};
  std::unique_ptr<ConnectionMonitor> monitor_;
  std::unique_ptr<HttpServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFuzzTest);

}  // namespace
}  // namespace figflow
