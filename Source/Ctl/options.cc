#include "Ctl/options.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>

#include <popt.h>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace figflow::ctl {
namespace {

constexpr char kStep[] = "ctl.options";
constexpr char kDefaultServer[] = "127.0.0.1:8081";
constexpr char kDefaultTimeout[] = "10";
constexpr double kMaxTimeoutSeconds = 3600;

struct OptionSpec {
  const char* name;
  char short_name;
  // Null for a switch.
  const char* argument;
  const char* help;
  std::string RawOptions::*text;
  bool RawOptions::*flag;
  bool common;
};

const std::array<OptionSpec, 16> kOptionSpecs = {{
    {"help", 'h', nullptr, "Print this help", nullptr, &RawOptions::help, true},
    {"json", 'j', nullptr, "Print the server's JSON answer", nullptr,
     &RawOptions::json, true},
    {"server", 's', "ADDRESS",
     "Address of a daemon's administration listener, host:port or URL "
     "(default: FIGFLOW_SERVER, then 127.0.0.1:8081)",
     &RawOptions::server_text, nullptr, true},
    {"token-file", 't', "FILE",
     "File that holds the credential (default: FIGFLOW_TOKEN)",
     &RawOptions::token_file, nullptr, true},
    {"timeout", 'T', "SECONDS", "Time bound for the request (default: 10)",
     &RawOptions::timeout_text, nullptr, true},
    {"project", 'p', "PROJECT", "Project", &RawOptions::project, nullptr,
     false},
    {"pool", 'P', "POOL", "Pool", &RawOptions::pool, nullptr, false},
    {"team", '\0', "TEAM", "Team", &RawOptions::team, nullptr, false},
    {"data-centre", 'd', "NAME", "Data centre", &RawOptions::data_centre,
     nullptr, false},
    {"state", '\0', "STATE", "State name", &RawOptions::state, nullptr, false},
    {"id", '\0', "ID",
     "Id of the job (default: random); repeat a submission with the same id "
     "when its outcome is unknown",
     &RawOptions::id, nullptr, false},
    {"priority", '\0', "normal|urgent", "Priority (default: normal)",
     &RawOptions::priority, nullptr, false},
    {"cores", '\0', "NUMBER", "Processor cores", &RawOptions::cores, nullptr,
     false},
    {"memory-mb", '\0', "NUMBER", "Memory in MB", &RawOptions::memory_mb,
     nullptr, false},
    {"accelerators", '\0', "NUMBER", "Accelerators", &RawOptions::accelerators,
     nullptr, false},
    {"apply-id", '\0', "ID",
     "Id of this change (default: random); repeat with the same id when the "
     "outcome is unknown",
     &RawOptions::apply_id, nullptr, false},
}};

bool IsAccepted(const OptionSpec& spec, const std::vector<std::string>& names) {
  return spec.common ||
         std::find(names.begin(), names.end(), spec.name) != names.end();
}

// The popt table; the value of an option is its index in kOptionSpecs plus 1.
std::vector<poptOption> PoptTable(const std::vector<std::string>& names) {
  std::vector<poptOption> table;
  for (size_t i = 0; i < kOptionSpecs.size(); ++i) {
    const OptionSpec& spec = kOptionSpecs[i];
    if (IsAccepted(spec, names)) {
      table.push_back(poptOption{
          spec.name, spec.short_name,
          static_cast<unsigned>(spec.argument == nullptr ? POPT_ARG_NONE
                                                         : POPT_ARG_STRING),
          nullptr, static_cast<int>(i) + 1, spec.help, spec.argument});
    }
  }
  table.push_back(poptOption{nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return table;
}

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPtr = std::unique_ptr<poptContext_s, ContextDeleter>;

tl::unexpected<Error> Bad(std::string message) {
  return Fail(ErrorCode::kInvalid, kStep, "", std::move(message));
}

std::string Environment(const char* name) {
  // Single-threaded at this point: no other thread changes the environment.
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

Result<std::string> ReadToken(const std::string& path) {
  std::ifstream file(path);
  std::string token((std::istreambuf_iterator<char>(file)),
                    std::istreambuf_iterator<char>());
  if (!file.good() && !file.eof()) {
    return Bad(absl::StrCat("cannot read the token file ", path));
  }
  absl::StripAsciiWhitespace(&token);
  if (token.empty()) {
    return Bad(absl::StrCat("the token file ", path, " is empty"));
  }
  return token;
}

}  // namespace

Result<void> ParseOptions(const std::vector<std::string>& args,
                          const std::vector<std::string>& names,
                          bool stop_at_argument,
                          RawOptions* options) {
  const std::vector<poptOption> table = PoptTable(names);
  std::vector<const char*> argv = {"figflowctl"};
  for (const std::string& arg : args) {
    argv.push_back(arg.c_str());
  }
  argv.push_back(nullptr);
  const ContextPtr context(poptGetContext(
      "figflowctl", static_cast<int>(argv.size()) - 1, argv.data(),
      table.data(), stop_at_argument ? POPT_CONTEXT_POSIXMEHARDER : 0));
  int index = 0;
  while ((index = poptGetNextOpt(context.get())) > 0) {
    const OptionSpec& spec = kOptionSpecs[static_cast<size_t>(index) - 1];
    if (spec.flag != nullptr) {
      options->*spec.flag = true;
      continue;
    }
    char* value = poptGetOptArg(context.get());
    options->*spec.text = value == nullptr ? "" : value;
    std::free(value);
  }
  if (index < -1) {
    return Bad(absl::StrCat(poptBadOption(context.get(), 0), ": ",
                            poptStrerror(index)));
  }
  options->arguments.clear();
  while (const char* argument = poptGetArg(context.get())) {
    options->arguments.emplace_back(argument);
  }
  return {};
}

std::string OptionsHelp(const std::string& usage,
                        const std::vector<std::string>& names) {
  const std::vector<poptOption> table = PoptTable(names);
  std::vector<const char*> argv = {"figflowctl", nullptr};
  const ContextPtr context(
      poptGetContext("figflowctl", 1, argv.data(), table.data(), 0));
  poptSetOtherOptionHelp(context.get(), usage.c_str());
  char* text = nullptr;
  size_t size = 0;
  std::FILE* stream = open_memstream(&text, &size);
  if (stream == nullptr) {
    return "";
  }
  poptPrintHelp(context.get(), stream, 0);
  std::fclose(stream);
  std::string help(text, size);
  std::free(text);
  return help;
}

Result<void> FinishOptions(RawOptions* options) {
  std::string server = options->server_text.empty()
                           ? Environment("FIGFLOW_SERVER")
                           : options->server_text;
  if (server.empty()) {
    server = kDefaultServer;
  }
  if (!absl::StartsWith(server, "http://") &&
      !absl::StartsWith(server, "https://")) {
    if (absl::StrContains(server, "://")) {
      return Bad(absl::StrCat("the server address ", server,
                              " is neither http nor https"));
    }
    server = absl::StrCat("http://", server);
  }
  while (absl::EndsWith(server, "/")) {
    server.pop_back();
  }
  options->server = server;

  if (options->token_file.empty()) {
    options->token = Environment("FIGFLOW_TOKEN");
  } else {
    Result<std::string> token = ReadToken(options->token_file);
    if (!token) {
      return tl::unexpected<Error>(token.error());
    }
    options->token = std::move(*token);
  }
  for (const char c : options->token) {
    // A line break would start another header.
    if (!absl::ascii_isgraph(static_cast<unsigned char>(c))) {
      return Bad("the credential contains blanks or control characters");
    }
  }

  double seconds = 0;
  const std::string timeout =
      options->timeout_text.empty() ? kDefaultTimeout : options->timeout_text;
  if (!absl::SimpleAtod(timeout, &seconds) || !std::isfinite(seconds) ||
      seconds < 0.001 || seconds > kMaxTimeoutSeconds) {
    return Bad("--timeout is not a number of seconds in 0.001 to 3600");
  }
  options->timeout = std::chrono::milliseconds(std::lround(seconds * 1000));
  return {};
}

}  // namespace figflow::ctl
