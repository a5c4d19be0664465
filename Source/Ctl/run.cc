#include "Ctl/run.h"

#include <ostream>

#include "Common/json.h"

#include "Ctl/options.h"
#include "Ctl/output.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"

namespace figflow::ctl {
namespace {

using Json = nlohmann::json;

constexpr int kFirstErrorStatus = 300;
constexpr int kFirstServerErrorStatus = 500;

Json ParseBody(const ApiAnswer& answer) {
  return Json::parse(answer.body, nullptr, false);
}

// The member `name` if it is a string, else empty. Answers may come from a
// wrong server, and nlohmann's value() throws on an unexpected type.
std::string TextField(const Json& body, const char* name) {
  const auto it = body.is_object() ? body.find(name) : body.end();
  return it != body.end() && it->is_string() ? it->get<std::string>() : "";
}

// The member `name` of the error object; empty when the body has none.
std::string ErrorField(const Json& body, const char* name) {
  return body.is_object() && body.contains("error")
             ? TextField(body["error"], name)
             : "";
}

bool IsSuccess(const ApiAnswer& answer) {
  return answer.status >= 200 && answer.status < kFirstErrorStatus;
}

ExitCode Usage(std::ostream& err, const std::string& message) {
  err << "figflowctl: " << message
      << "\nTry 'figflowctl --help' or 'figflowctl VERB --help'.\n";
  return ExitCode::kUsage;
}

void PrintVerbs(std::ostream& out) {
  out << OptionsHelp("[OPTIONS] VERB [ARGUMENTS]", {}) << "\nVerbs:\n";
  for (const Verb& verb : Verbs()) {
    const std::string name = absl::StrCat(verb.name, " ", verb.arguments);
    out << "  " << name
        << std::string(name.size() < 34 ? 34 - name.size() : 1, ' ')
        << verb.summary << "\n";
  }
  out << "\nExit codes: 0 done, 1 refused or conflict, 2 usage, 3 server not "
         "reached,\n4 outcome unknown\n";
}

void PrintAnswer(const Verb& verb,
                 const Options& options,
                 const ApiAnswer& answer,
                 bool terminal,
                 std::ostream& out) {
  const Json body = ParseBody(answer);
  if (verb.name == "sheet show" && !options.json && body.is_object()) {
    out << TextField(body, "csv");
    return;
  }
  if (options.json || verb.columns.empty() || !body.is_object()) {
    out << answer.body;
    return;
  }
  Json rows = Json::array({body});
  if (!verb.rows.empty()) {
    rows = body.contains(verb.rows) ? body[verb.rows] : Json::array();
  }
  out << FormatRows(rows, verb.columns,
                    terminal ? OutputForm::kTable : OutputForm::kTabSeparated);
}

void PrintFailure(const Verb& verb,
                  const ApiCall& call,
                  const Result<ApiAnswer>& answer,
                  ExitCode code,
                  std::ostream& err) {
  err << "figflowctl: " << verb.name << ": ";
  if (!answer) {
    err << ToString(answer.error()) << "\n";
  } else {
    const Json body = ParseBody(*answer);
    err << "status=" << answer->status << " step=" << ErrorField(body, "step")
        << " peer=" << ErrorField(body, "peer")
        << " code=" << ErrorField(body, "code")
        << " message=" << ErrorField(body, "message") << "\n";
  }
  if (code == ExitCode::kUnknownOutcome) {
    err << "The change may have taken effect. Request: " << call.method << " "
        << call.target;
    const Json body = Json::parse(call.body, nullptr, false);
    if (body.is_object() && body.contains("id")) {
      err << " id=" << TextField(body, "id");
    }
    err << "\n";
  }
}

ExitCode RunHere(const Verb& verb,
                 const Options& options,
                 bool terminal,
                 std::ostream& out,
                 std::ostream& err) {
  const Result<ApiAnswer> answer = verb.answer_here(options);
  if (!answer) {
    return Usage(err, absl::StrCat(verb.name, ": ", answer.error().message));
  }
  const ExitCode code = ExitCodeOf(verb, answer);
  if (code != ExitCode::kDone) {
    err << "figflowctl: " << verb.name << ": no line names "
        << options.arguments[0] << "\n";
  }
  PrintAnswer(verb, options, *answer, terminal, out);
  return code;
}

ExitCode RunVerb(const Verb& verb,
                 const Options& options,
                 bool terminal,
                 std::ostream& out,
                 std::ostream& err) {
  if (verb.answer_here != nullptr) {
    return RunHere(verb, options, terminal, out, err);
  }
  const Result<ApiCall> call = verb.make_call(options);
  if (!call) {
    return Usage(err, absl::StrCat(verb.name, ": ", call.error().message));
  }
  const Result<ApiAnswer> answer =
      CallApi(options.server, options.token, *call, options.timeout);
  const ExitCode code = ExitCodeOf(verb, answer);
  if (answer && IsSuccess(*answer)) {
    PrintAnswer(verb, options, *answer, terminal, out);
  } else {
    if (answer && options.json) {
      out << answer->body;
    }
    PrintFailure(verb, *call, answer, code, err);
  }
  return code;
}

}  // namespace

ExitCode ExitCodeOf(const Verb& verb, const Result<ApiAnswer>& answer) {
  if (!answer) {
    return verb.changes && answer.error().code == ErrorCode::kUnknownOutcome
               ? ExitCode::kUnknownOutcome
               : ExitCode::kNotReached;
  }
  const Json body = ParseBody(*answer);
  if (IsSuccess(*answer)) {
    // A complete answer that is not JSON did not come from a daemon.
    if (!body.is_object()) {
      return verb.changes ? ExitCode::kUnknownOutcome : ExitCode::kNotReached;
    }
    const bool refused =
        (body.contains("ok") && body["ok"] == false) ||
        (verb.changes && TextField(body, "state") == "refused");
    return refused ? ExitCode::kRefused : ExitCode::kDone;
  }
  if (!verb.changes) {
    return ExitCode::kRefused;
  }
  const std::string code = ErrorField(body, "code");
  if (code == "unknown-outcome" || code == "deadline-exceeded") {
    return ExitCode::kUnknownOutcome;
  }
  // A server error without the API's error object comes from something between
  // this program and the daemon.
  return code.empty() && answer->status >= kFirstServerErrorStatus
             ? ExitCode::kUnknownOutcome
             : ExitCode::kRefused;
}

ExitCode Run(const std::vector<std::string>& args,
             bool terminal,
             std::ostream& out,
             std::ostream& err) {
  RawOptions options;
  Result<void> parsed = ParseOptions(args, {}, true, &options);
  if (!parsed) {
    return Usage(err, parsed.error().message);
  }
  if (options.arguments.empty()) {
    if (options.help) {
      PrintVerbs(out);
      return ExitCode::kDone;
    }
    return Usage(err, "no verb given");
  }
  const Verb* verb = FindVerb(options.arguments);
  if (verb == nullptr) {
    return Usage(err, absl::StrCat("unknown verb: ",
                                   absl::StrJoin(options.arguments, " ")));
  }
  const std::vector<std::string> name = absl::StrSplit(verb->name, ' ');
  const std::vector<std::string> rest(
      options.arguments.begin() + static_cast<std::ptrdiff_t>(name.size()),
      options.arguments.end());
  parsed = ParseOptions(rest, verb->options, false, &options);
  if (!parsed) {
    return Usage(err, absl::StrCat(verb->name, ": ", parsed.error().message));
  }
  if (options.help) {
    out << verb->summary << "\n\n"
        << OptionsHelp(absl::StrCat(verb->name, " [OPTIONS] ", verb->arguments),
                       verb->options);
    return ExitCode::kDone;
  }
  if (options.arguments.size() < verb->min_arguments ||
      options.arguments.size() > verb->max_arguments) {
    return Usage(err, absl::StrCat(verb->name, " takes ",
                                   verb->arguments.empty() ? "no arguments"
                                                           : verb->arguments));
  }
  parsed = FinishOptions(&options);
  if (!parsed) {
    return Usage(err, parsed.error().message);
  }
  return RunVerb(*verb, options, terminal, out, err);
}

}  // namespace figflow::ctl
