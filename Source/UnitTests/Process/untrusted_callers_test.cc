// A daemon among callers that send much and end nothing: it stays alive, within
// its memory and descriptors, and serves others.
#include <stdlib.h>
#include <sys/resource.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <cppunit/extensions/HelperMacros.h>

#include "Common/json.h"
#include "Process/child_process.h"
#include "Process/http_call.h"
#include "Process/raw_crowd.h"
#include "Soak/real_time.h"
#include "Soak/wire_format.h"
#include "Soak/wire_front.h"
#include "StandIns/Fleet/model_fleet.h"
#include "absl/strings/str_cat.h"

namespace figflow::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallerPort = 23900;
constexpr int kAdminPort = 23901;
constexpr int kPeerPort = 23902;
constexpr int kMetricsPort = 23903;

constexpr size_t kMegabyte = size_t{1} << 20;

// The limits of this test. The crowd below sends 118 MB of bodies on 380
// connections: 260 bodies within the plan's limit are 63 MB, and 60 beyond it
// 48 MB. A daemon that holds what is sent exceeds its memory by far, and one
// that only applies the limit of a body still does.
constexpr size_t kMemoryMb = 64;
constexpr size_t kMaxOpen = 400;
constexpr size_t kMaxBodyBytes = 262'144;

// A process above its memory is killed by the platform.
constexpr size_t kMostMemory = kMemoryMb * kMegabyte;
// Callers' connections, 32 each on the addresses for administration and
// metrics, 24 to the store, and 44 for the process itself: four addresses, four
// event loops and close watchers with 2 to 4 each, the log and its settings.
constexpr size_t kMostDescriptors = kMaxOpen + 32 + 32 + 24 + 44;

// With several hundred connections in the way, the request may wait.
constexpr seconds kRequestBound{20};
constexpr seconds kStartBound{20};
constexpr seconds kSendBound{30};
// The server has stopped reading, or what is left waits for the caller.
constexpr milliseconds kStall{1'500};
constexpr milliseconds kPoll{50};

std::string Address(int port) {
  return absl::StrCat("127.0.0.1:", port);
}

// The platform's store with a plan, and no worker.
class StorePlatform {
 public:
  StorePlatform()
      : store_(time_, 1),
        workers_(time_, store_, promises_, 2),
        instances_(time_, workers_, promises_),
        loop_(time_),
        front_(
            loop_,
            {time_, store_, workers_, instances_},
            3,
            [](const std::string&) { return nullptr; },
            [](const std::string&) {}),
        node_(std::make_shared<model::ModelNode>()) {
    if (const auto started = front_.Start(); !started) {
      throw std::runtime_error(ToString(started.error()));
    }
    json plan = json::parse(soak::FormatPlan(model::SimplePlan(1)));
    plan["Limits"] = {{"MaxBodyBytes", kMaxBodyBytes}};
    host_ = plan["Routes"][0]["Host"];
    prefix_ = plan["Routes"][0]["Prefix"];
    front_.AddDaemon(address(), node_);
    store_.Put(soak::kPlanKey, plan.dump());
    loop_.Start();
  }
  ~StorePlatform() { loop_.Stop(); }
  StorePlatform(const StorePlatform&) = delete;
  StorePlatform& operator=(const StorePlatform&) = delete;

  std::string address() const { return Address(front_.port()); }
  const std::string& host() const { return host_; }
  const std::string& prefix() const { return prefix_; }

 private:
  model::VirtualTime time_;
  model::Promises promises_;
  model::ModelStore store_;
  model::ModelWorkers workers_;
  model::ModelInstances instances_;
  soak::RealTime loop_;
  soak::WireFront front_;
  model::NodePtr node_;
  std::string host_;
  std::string prefix_;
};

class UntrustedCallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UntrustedCallersTest);
  CPPUNIT_TEST(UnfinishedRequestsLeaveRoomForOthers);
  CPPUNIT_TEST(OtherAddressesHaveTheSameBounds);
  CPPUNIT_TEST(DescriptorsAreLeftForTheStore);
  CPPUNIT_TEST(OddDocumentsStayWithinTheMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    directory_ =
        (std::filesystem::temp_directory_path() / "figflow-callers-XXXXXX");
    if (mkdtemp(directory_.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary directory");
    }
    platform_ = std::make_unique<StorePlatform>();
    const std::string settings = directory_ + "/settings.json";
    std::ofstream(settings) << Settings().dump(2);
    StartDaemon();
  }

  void StartDaemon() {
    daemon_ = std::make_unique<ChildProcess>(
        absl::StrCat(FIGFLOW_BIN_DIR, "/figflowd"),
        std::vector<std::string>{"--settings", directory_ + "/settings.json"},
        directory_ + "/figflowd.log");
    for (milliseconds waited{0};
         OrdinaryCall() != kNoSuchJob && waited < kStartBound;
         waited += kPoll) {
      std::this_thread::sleep_for(kPoll);
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE("the daemon has not started: " + directory_,
                                 kNoSuchJob, OrdinaryCall());
  }

  void tearDown() override {
    daemon_.reset();
    platform_.reset();
    std::filesystem::remove_all(directory_);
  }

  // Guards against a daemon that runs out of memory or connections because it
  // holds whatever callers send until they end it, and against one that stays
  // within its limits by serving nobody.
  void UnfinishedRequestsLeaveRoomForOthers() {
    const std::string host = platform_->host();
    const std::string target = platform_->prefix() + "0123456789abcdef";
    const size_t at_rest = daemon_->ResidentBytes();
    RawCrowd crowd(kCallerPort);
    // Within the plan's limit; only together they are too much.
    crowd.Add(234, ChunkedRequest(host, target, 256'000, 64'000, false));
    crowd.Add(26, ChunkedRequest(host, target, 256'000, 64'000, true));
    crowd.Add(60, ChunkedRequest(host, target, 850'000, 65'536, false));
    crowd.Add(30, ChunkedRequest(host, target, 200'000, 16, false));
    crowd.Add(10, ChunkedRequest(host, target, 30'000, 1, false));
    crowd.Add(20, EndlessHeader(host, 200'000, 500));
    crowd.Send(kStall, kSendBound);
    const size_t descriptors = daemon_->OpenDescriptors();
    const int status = OrdinaryCall();
    const size_t peak = daemon_->PeakResidentBytes();
    std::cout << "untrusted callers: sent " << crowd.bytes_sent()
              << " bytes; resident at rest " << at_rest << ", peak " << peak
              << " of " << kMostMemory << "; descriptors " << descriptors
              << " of " << kMostDescriptors << "; status " << status
              << std::endl;
    CPPUNIT_ASSERT_MESSAGE("the daemon has ended", daemon_->Running());
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("resident memory ", peak),
                           peak > 0 && peak <= kMostMemory);
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("open descriptors ", descriptors),
                           descriptors > 0 && descriptors <= kMostDescriptors);
    CPPUNIT_ASSERT_EQUAL(kNoSuchJob, status);
  }

  // Guards against a budget that holds for callers only. The crowd sends 97 MB
  // to peers and 3 MB of headers to each of the others.
  void OtherAddressesHaveTheSameBounds() {
    const std::string host = platform_->host();
    RawCrowd peers(kPeerPort);
    peers.Add(120, ChunkedRequest(host, "/", 850'000, 65'536, false));
    peers.Send(kStall, kSendBound);
    RawCrowd admin(kAdminPort);
    admin.Add(15, EndlessHeader(host, 200'000, 500));
    admin.Send(kStall, kSendBound);
    RawCrowd metrics(kMetricsPort);
    metrics.Add(15, EndlessHeader(host, 200'000, 500));
    metrics.Send(kStall, kSendBound);
    WaitUntilRead();
    const int status = OrdinaryCall();
    const size_t peak = daemon_->PeakResidentBytes();
    std::cout << "other addresses: peak " << peak << " of " << kMostMemory
              << "; status " << status << std::endl;
    CPPUNIT_ASSERT_MESSAGE("the daemon has ended", daemon_->Running());
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("resident memory ", peak),
                           peak > 0 && peak <= kMostMemory);
    CPPUNIT_ASSERT_EQUAL(kNoSuchJob, status);
  }

  // Guards against callers that use up the descriptors, so that the daemon
  // cannot reach the store or take calls any more.
  void DescriptorsAreLeftForTheStore() {
    constexpr rlim_t few_descriptors = 200;
    daemon_.reset();
    rlimit limit{};
    CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &limit));
    const rlimit lowered{few_descriptors, limit.rlim_max};
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &lowered));
    StartDaemon();
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &limit));
    RawCrowd crowd(kCallerPort);
    crowd.Add(380, EndlessHeader(platform_->host(), 1'000, 500));
    crowd.Send(kStall, kSendBound);
    const size_t descriptors = daemon_->OpenDescriptors();
    std::cout << "few descriptors: " << descriptors << " of " << few_descriptors
              << std::endl;
    // Connections to the store that are not open yet need one each.
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("open descriptors ", descriptors),
                           descriptors + 24 <= few_descriptors);
    CPPUNIT_ASSERT_EQUAL(kNoSuchJob, OrdinaryCall());
  }

  // Guards against trees of documents that exceed the memory: a value of two
  // or three bytes is a node of a tree.
  void OddDocumentsStayWithinTheMemory() {
    std::string wide = "[";
    std::string nested = R"({"Steps":[)";
    while (wide.size() + 4 < kMaxBodyBytes) {
      wide += "1,";
    }
    while (nested.size() + 6 < kMaxBodyBytes) {
      nested += "[],";
    }
    wide += "1]";
    nested += "0]}";
    const std::string deep(kMaxBodyBytes, '[');
    constexpr int caller_count = 12;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    std::atomic<int> refused{0};
    for (int i = 0; i < caller_count; ++i) {
      callers.emplace_back([&, i] {
        const std::string* const bodies[] = {&wide, &nested, &deep};
        const CallResult result =
            Call("POST",
                 absl::StrCat("http://", Address(kCallerPort),
                              platform_->prefix(), "0123456789abcde", i % 10),
                 {"Host: " + platform_->host()}, *bodies[i % 3], kRequestBound);
        refused += result.status == 400 ? 1 : 0;
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    const size_t peak = daemon_->PeakResidentBytes();
    std::cout << "odd documents: peak " << peak << " of " << kMostMemory
              << std::endl;
    CPPUNIT_ASSERT_EQUAL(caller_count, refused.load());
    CPPUNIT_ASSERT_MESSAGE(absl::StrCat("resident memory ", peak),
                           peak > 0 && peak <= kMostMemory);
    CPPUNIT_ASSERT_EQUAL(kNoSuchJob, OrdinaryCall());
  }

 private:
  static constexpr int kNoSuchJob = 410;

  json Settings() const {
    return {
        {"entry", "entry-0"},
        {"data_centre", "dc-a"},
        {"listen",
         {{"callers", Address(kCallerPort)},
          {"admin", Address(kAdminPort)},
          {"peers", Address(kPeerPort)},
          {"metrics", Address(kMetricsPort)}}},
        {"peers",
         {{"seeds", json::array()}, {"credential", "not-used-in-this-test"}}},
        {"admin", {{"credential", "not-used-in-this-test-either"}}},
        {"platform",
         {{"kind", "fleet"},
          {"address", platform_->address()},
          {"instances_address", platform_->address()}}},
        {"limits", {{"memory_mb", kMemoryMb}}},
        {"requests", {{"max_open", kMaxOpen}}}};
  }

  // The kernel takes what the crowd sends before the daemon reads it.
  void WaitUntilRead() const {
    size_t peak = 0;
    for (milliseconds steady{0}; steady < kStall; steady += kPoll) {
      std::this_thread::sleep_for(kPoll);
      if (const size_t now = daemon_->PeakResidentBytes(); now > peak) {
        peak = now;
        steady = milliseconds(0);
      }
    }
  }

  // Asks for a job that does not exist.
  int OrdinaryCall() const {
    return Call("GET",
                absl::StrCat("http://", Address(kCallerPort),
                             platform_->prefix(), "fedcba9876543210"),
                {"Host: " + platform_->host()}, "", kRequestBound)
        .status;
  }

  std::string directory_;
  std::unique_ptr<StorePlatform> platform_;
  std::unique_ptr<ChildProcess> daemon_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UntrustedCallersTest);

}  // namespace
}  // namespace figflow::test
