#include "Ctl/run.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <unistd.h>

#include <cstdlib>
#include <memory>
#include <optional>
#include <sstream>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include "Admin/admin_router.h"
#include "Admin/fake_admin_backend.h"
#include "absl/strings/str_split.h"

namespace figflow::ctl {
namespace {

// How the test server treats a request.
enum class Fault { kNone, kCloseWithoutAnswer, kPlainText, kGatewayError };

// Serves an AdminRouter on a loopback port.
class TestServer {
 public:
  TestServer()
      : router_(backend, "secret"),
        daemon_(MHD_start_daemon(
            MHD_USE_INTERNAL_POLLING_THREAD,
            0,
            nullptr,
            nullptr,
            &TestServer::OnRequest,
            this,
            MHD_OPTION_NOTIFY_COMPLETED,
            +[](void*,
                MHD_Connection*,
                void** state,
                MHD_RequestTerminationCode) {
              delete static_cast<std::string*>(*state);
            },
            nullptr,
            MHD_OPTION_END)) {}
  ~TestServer() { MHD_stop_daemon(daemon_); }
  TestServer(const TestServer&) = delete;
  TestServer& operator=(const TestServer&) = delete;

  std::string Address() const {
    return absl::StrCat(
        "127.0.0.1:",
        MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_BIND_PORT)->port);
  }

  test::FakeAdminBackend backend;
  Fault fault = Fault::kNone;

 private:
  static MHD_Result OnRequest(void* self,
                              MHD_Connection* connection,
                              const char* target,
                              const char* method,
                              const char* /*version*/,
                              const char* data,
                              size_t* size,
                              void** state) {
    auto* server = static_cast<TestServer*>(self);
    if (*state == nullptr) {
      *state = new std::string();
      return MHD_YES;
    }
    auto* body = static_cast<std::string*>(*state);
    if (*size > 0) {
      body->append(data, *size);
      *size = 0;
      return MHD_YES;
    }
    if (server->fault == Fault::kCloseWithoutAnswer) {
      return MHD_NO;
    }
    HttpRequest request{method, target, {}, *body};
    const char* apply_id = MHD_lookup_connection_value(
        connection, MHD_GET_ARGUMENT_KIND, "apply_id");
    if (apply_id != nullptr) {
      absl::StrAppend(&request.target, "?apply_id=", apply_id);
    }
    const char* token = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                                    "Authorization");
    if (token != nullptr) {
      request.headers.emplace_back("Authorization", token);
    }
    HttpResponse response = server->router_.Handle(request);
    if (server->fault == Fault::kPlainText) {
      response.body = "hello";
    }
    if (server->fault == Fault::kGatewayError) {
      response = HttpResponse{502, {}, "<html>"};
    }
    MHD_Response* reply = MHD_create_response_from_buffer(
        response.body.size(), response.body.data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result queued = MHD_queue_response(
        connection, static_cast<unsigned>(response.status), reply);
    MHD_destroy_response(reply);
    return queued;
  }

  const AdminRouter router_;
  MHD_Daemon* daemon_;
};

struct RunCase {
  const char* name;
  // Separated by '|'; SERVER and FILE are replaced.
  const char* args;
  Fault fault;
  std::optional<ErrorCode> error;
  ExitCode exit_code;
  // Parts of standard output and standard error.
  const char* out;
  const char* err;
};

const RunCase kRunCases[] = {
    {"help", "--help", Fault::kNone, {}, ExitCode::kDone, "sheet apply", ""},
    {"help of a verb",
     "jobs|submit|--help",
     Fault::kNone,
     {},
     ExitCode::kDone,
     "--accelerators",
     ""},
    {"no verb", "--json", Fault::kNone, {}, ExitCode::kUsage, "", "no verb"},
    {"unknown verb",
     "sheet|burn",
     Fault::kNone,
     {},
     ExitCode::kUsage,
     "",
     "unknown verb"},
    {"option of another verb",
     "status|--project|p",
     Fault::kNone,
     {},
     ExitCode::kUsage,
     "",
     "--project"},
    {"missing argument",
     "sheet|apply",
     Fault::kNone,
     {},
     ExitCode::kUsage,
     "",
     "takes FILE"},
    {"missing file",
     "sheet|check|/nonexistent/file",
     Fault::kNone,
     {},
     ExitCode::kUsage,
     "",
     "cannot read"},
    {"bad time bound",
     "status|--timeout|soon",
     Fault::kNone,
     {},
     ExitCode::kUsage,
     "",
     "--timeout"},
    {"bad address",
     "status|--server|ftp://x",
     Fault::kNone,
     {},
     ExitCode::kUsage,
     "",
     "neither http"},
    {"not reached",
     "maintenance|pause|p|--server|127.0.0.1:1",
     Fault::kNone,
     {},
     ExitCode::kNotReached,
     "",
     "code=unavailable"},
    {"options before the verb",
     "--server|SERVER|status",
     Fault::kNone,
     {},
     ExitCode::kDone,
     "",
     ""},
    {"tab-separated",
     "pools|-s|SERVER",
     Fault::kNone,
     {},
     ExitCode::kDone,
     "#project\tpool\tdata_centre\twanted\tactive\tdraining\tfree_slots\t"
     "queued_short\tqueued_long\nrice\trice-long-name\t-\t0",
     ""},
    {"json",
     "pools|-s|SERVER|--json",
     Fault::kNone,
     {},
     ExitCode::kDone,
     "{\"pools\":[{",
     ""},
    {"sheet with faults",
     "sheet|check|FILE|-s|SERVER",
     Fault::kNone,
     {},
     ExitCode::kRefused,
     "2\tpool\ttab here",
     ""},
    {"apply",
     "sheet|apply|FILE|-s|SERVER|--apply-id|a1",
     Fault::kNone,
     {},
     ExitCode::kDone,
     "8\ta1",
     ""},
    {"conflict", "sheet|apply|FILE|-s|SERVER", Fault::kNone,
     ErrorCode::kConflict, ExitCode::kRefused, "", "code=conflict"},
    {"unknown outcome from the server",
     "sheet|apply|FILE|-s|SERVER|--apply-id|a1", Fault::kNone,
     ErrorCode::kUnknownOutcome, ExitCode::kUnknownOutcome, "", "apply_id=a1"},
    {"answer lost",
     "jobs|cancel|p|j|-s|SERVER",
     Fault::kCloseWithoutAnswer,
     {},
     ExitCode::kUnknownOutcome,
     "",
     "may have taken effect"},
    {"submission's id with a lost answer",
     "jobs|submit|run|--id|j7|-p|p|-P|q|-s|SERVER",
     Fault::kCloseWithoutAnswer,
     {},
     ExitCode::kUnknownOutcome,
     "",
     "id=j7"},
    {"answer of a read lost",
     "status|-s|SERVER",
     Fault::kCloseWithoutAnswer,
     {},
     ExitCode::kNotReached,
     "",
     "status"},
    {"not a daemon",
     "status|-s|SERVER",
     Fault::kPlainText,
     {},
     ExitCode::kNotReached,
     "",
     ""},
    {"change through a failing gateway",
     "entries|remove|e|-s|SERVER",
     Fault::kGatewayError,
     {},
     ExitCode::kUnknownOutcome,
     "",
     "status=502"},
    {"logs without the id",
     "explain|j7|FILE",
     Fault::kNone,
     {},
     ExitCode::kRefused,
     "",
     "no line names j7"},
    {"log that cannot be read",
     "explain|j7|/nonexistent/file",
     Fault::kNone,
     {},
     ExitCode::kUsage,
     "",
     "cannot read"},
    {"explanation as JSON",
     "explain|j7|FILE|--json",
     Fault::kNone,
     {},
     ExitCode::kRefused,
     "\"lines\":[]",
     ""},
    {"dump",
     "dump|-s|SERVER",
     Fault::kNone,
     {},
     ExitCode::kDone,
     "\"state\"",
     ""},
};

class RunTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTest);
  CPPUNIT_TEST(ExitCodesAndOutput);
  CPPUNIT_TEST(TableOnATerminal);
  CPPUNIT_TEST(WrongCredentialIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    file_ = "/tmp/figflow_ctl_XXXXXX";
    const int fd = mkstemp(file_.data());
    CPPUNIT_ASSERT(write(fd, "bad", 3) == 3);
    close(fd);
    setenv("FIGFLOW_TOKEN", "secret", 1);
    // The client must not send the credential to a proxy.
    setenv("http_proxy", "http://127.0.0.1:1", 1);
  }
  void tearDown() override { unlink(file_.c_str()); }

  // Guards against scripts that take an unknown outcome for a failure, or a
  // refusal for success.
  void ExitCodesAndOutput() {
    for (const RunCase& c : kRunCases) {
      TestServer server;
      server.fault = c.fault;
      if (c.error) {
        server.backend.error = Error{*c.error, "kv.get", "store", "failed"};
      }
      Execute(server, c.args, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name + (": " + out_.str()) + err_.str(),
                                   static_cast<int>(c.exit_code),
                                   static_cast<int>(exit_code_));
      CPPUNIT_ASSERT_MESSAGE(c.name + (": " + out_.str()),
                             out_.str().find(c.out) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(c.name + (": " + err_.str()),
                             err_.str().find(c.err) != std::string::npos);
    }
  }

  // Guards against columns that do not line up.
  void TableOnATerminal() {
    TestServer server;
    Execute(server, "pools|-s|SERVER", true);
    const std::vector<std::string> lines = absl::StrSplit(out_.str(), '\n');
    CPPUNIT_ASSERT_EQUAL(size_t{4}, lines.size());
    CPPUNIT_ASSERT_EQUAL(lines[0].find("DATA_CENTRE"), lines[1].find("-  "));
  }

  // Guards against a client that hides a refused credential.
  void WrongCredentialIsRefused() {
    TestServer server;
    Execute(server, "pools|-s|SERVER|--token-file|FILE", false);
    CPPUNIT_ASSERT(exit_code_ == ExitCode::kRefused);
    CPPUNIT_ASSERT(err_.str().find("status=401") != std::string::npos);
  }

 private:
  void Execute(const TestServer& server, const char* args, bool terminal) {
    std::vector<std::string> list = absl::StrSplit(args, '|');
    for (std::string& arg : list) {
      arg = arg == "SERVER" ? server.Address() : arg == "FILE" ? file_ : arg;
    }
    out_.str("");
    err_.str("");
    exit_code_ = Run(list, terminal, out_, err_);
  }

  std::string file_;
  std::ostringstream out_;
  std::ostringstream err_;
  ExitCode exit_code_ = ExitCode::kDone;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTest);

}  // namespace
}  // namespace figflow::ctl
