#include "Settings/settings.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include "Common/json.h"

namespace figflow {
namespace {

using nlohmann::json;

json ValidSettings() {
  return json::parse(R"({
    "entry": "e1", "data_centre": "suva",
    "listen": {"callers": "127.0.0.1:8080", "admin": "127.0.0.1:8081",
               "peers": "[::1]:8082"},
    "peers": {"seeds": ["127.0.0.1:9000"], "credential": "peer-credential-01"},
    "admin": {"credential": "operator-credential-01"},
    "platform": {"address": "127.0.0.1:19000"}
  })");
}

struct FaultCase {
  const char* name;
  // JSON pointer to the changed value; empty pointer with null value: none.
  const char* pointer;
  // JSON text of the new value; "-" removes the key.
  const char* value;
  const char* fault_path;
  const char* fault_message;
};

constexpr FaultCase kFaultCases[] = {
    {"unknown key", "/colour", "1", "colour", "unknown setting"},
    {"unit in the name", "/platform/timeout_s", "1", "platform.timeout_s",
     "unknown setting; did you mean platform.timeout_ms?"},
    {"unit in the value", "/drain_timeout_ms", "\"5s\"", "drain_timeout_ms",
     "expected a whole number of milliseconds"},
    {"fraction", "/drain_timeout_ms", "1.5", "drain_timeout_ms",
     "expected a whole number of milliseconds"},
    {"host name", "/platform/address", "\"localhost:1\"", "platform.address",
     "expected an IP number such as 127.0.0.1 or [::1]"},
    {"port 0", "/listen/callers", "\"127.0.0.1:0\"", "listen.callers",
     "the port must be a number from 1 to 65535"},
    {"no port", "/listen/callers", "\"127.0.0.1\"", "listen.callers",
     "expected \"ip:port\""},
    {"missing data centre", "/data_centre", "-", "data_centre",
     "required setting is missing"},
    {"empty data centre", "/data_centre", "\"\"", "data_centre",
     "expected a text that is not empty"},
    {"below the range", "/threads/callers", "0", "threads.callers",
     "must be from 1 to 64"},
    {"no processor", "/limits", R"({"processor_cores": 0})",
     "limits.processor_cores", "must be from 0.01 to 1024"},
    {"processor as a text", "/limits", R"({"processor_cores": "0.5"})",
     "limits.processor_cores", "expected a number"},
    {"too little memory", "/limits", R"({"memory_mb": 31})", "limits.memory_mb",
     "must be 0 or at least 32"},
    {"bad seed", "/peers/seeds", "[7]", "peers.seeds", "expected \"ip:port\""},
    {"short credential", "/peers/credential", "\"short\"", "peers.credential",
     "must have at least 16 characters"},
    {"same credentials", "/admin/credential", "\"peer-credential-01\"",
     "admin.credential", "must differ from peers.credential"},
    {"deadlines crossed", "/requests/default_deadline_ms", "70000",
     "requests.default_deadline_ms",
     "must not be longer than requests.max_deadline_ms"},
    {"same address twice", "/listen/admin", "\"127.0.0.1:8080\"", "listen",
     "the three addresses must differ"},
    {"scalar in place of a group", "/platform", "3", "platform.address",
     "required setting is missing"},
};

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ValidFileIsAcceptedWithDefaults);
  CPPUNIT_TEST(EachFaultIsReportedWithItsPath);
  CPPUNIT_TEST(AllFaultsAreReportedAtOnce);
  CPPUNIT_TEST(TextThatIsNoObjectIsRefused);
  CPPUNIT_TEST(ReferencePageMatchesTheTable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ValidFileIsAcceptedWithDefaults() {
    const auto settings = ParseSettings(ValidSettings().dump());
    CPPUNIT_ASSERT(settings);
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:8082"),
                         settings->peer_listen.ToString());
    CPPUNIT_ASSERT(settings->platform_timeout == std::chrono::seconds(1));
    CPPUNIT_ASSERT_EQUAL(1.0, settings->processor_cores);
    CPPUNIT_ASSERT(RequestBound(*settings) > settings->max_deadline);
  }

  // Guards against a daemon that starts on a file the operator got wrong.
  void EachFaultIsReportedWithItsPath() {
    for (const FaultCase& c : kFaultCases) {
      json document = ValidSettings();
      if (std::string(c.value) == "-") {
        document.erase(std::string(c.pointer).substr(1));
      } else {
        document[json::json_pointer(c.pointer)] = json::parse(c.value);
      }
      const auto settings = ParseSettings(document.dump());
      CPPUNIT_ASSERT_MESSAGE(c.name, !settings);
      const SettingsFault& fault = settings.error().front();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.fault_path),
                                   fault.path);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(c.name, std::string(c.fault_message),
                                   fault.message);
    }
  }

  void AllFaultsAreReportedAtOnce() {
    const auto settings = ParseSettings(R"({"colour": 1, "entry": 3})");
    CPPUNIT_ASSERT(!settings);
    // Nine required settings are wrong or missing, one is unknown.
    CPPUNIT_ASSERT_EQUAL(size_t{10}, settings.error().size());
  }

  void TextThatIsNoObjectIsRefused() {
    for (const char* text : {"", "[]", "{", "null"}) {
      const auto settings = ParseSettings(text);
      CPPUNIT_ASSERT_MESSAGE(text, !settings);
      CPPUNIT_ASSERT_EQUAL(std::string("$"), settings.error().front().path);
    }
  }

  // Guards against a settings reference that no longer matches the program.
  void ReferencePageMatchesTheTable() {
    const Result<std::string> page = ReadSettingsFile(SETTINGS_DOC);
    CPPUNIT_ASSERT(page);
    CPPUNIT_ASSERT_MESSAGE(
        "run figflowd --settings-reference",
        page->find(SettingsReference()) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace figflow
