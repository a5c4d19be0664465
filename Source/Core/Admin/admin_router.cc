#include "Admin/admin_router.h"

#include <map>
#include <utility>
#include <vector>

#include "Admin/admin_json.h"
#include "Common/constant_time.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

namespace figflow {
namespace {

constexpr char kJsonType[] = "application/json";
constexpr char kTextType[] = "text/plain; charset=utf-8";
constexpr char kRouteStep[] = "admin.route";

// The parsed parts of a request that a handler needs.
struct Call {
  // Path segments matched by "*", in order; each is a valid id.
  std::vector<std::string> ids;
  std::map<std::string, std::string> query;
  absl::string_view body;
};

using Handler = AdminResponse (*)(AdminBackend& backend, const Call& call);

struct Route {
  absl::string_view method;
  // "*" matches one segment.
  absl::string_view path;
  bool open;
  size_t max_body;
  // Comma-separated names of the query parameters.
  absl::string_view query;
  Handler handler;
};

AdminResponse JsonResponse(int status, const nlohmann::json& body) {
  // Input bytes may end up in messages; invalid UTF-8 must not throw.
  return AdminResponse{
      status, kJsonType,
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
          "\n",
      ""};
}

AdminResponse ErrorResponse(const Error& error) {
  return JsonResponse(HttpStatusOf(error.code), ToJson(error));
}

AdminResponse RouteError(int status, ErrorCode code, std::string message) {
  return JsonResponse(status,
                      ToJson(Error{code, kRouteStep, "", std::move(message)}));
}

template <typename T>
AdminResponse Reply(const Result<T>& result, int status = 200) {
  return result ? JsonResponse(status, ToJson(*result))
                : ErrorResponse(result.error());
}

std::string QueryValue(const Call& call, const char* name) {
  auto it = call.query.find(name);
  return it == call.query.end() ? "" : it->second;
}

AdminFilter FilterOf(const Call& call) {
  AdminFilter filter;
  filter.project = ProjectId(QueryValue(call, "project"));
  filter.pool = PoolId(QueryValue(call, "pool"));
  filter.team = TeamId(QueryValue(call, "team"));
  filter.data_centre = DataCentreId(QueryValue(call, "data_centre"));
  filter.state = QueryValue(call, "state");
  return filter;
}

// Calls a list method and wraps its rows in an object.
template <typename Row>
AdminResponse ReplyList(
    AdminBackend& backend,
    const Call& call,
    const char* name,
    Result<std::vector<Row>> (AdminBackend::*method)(const AdminFilter&)) {
  const Result<std::vector<Row>> rows = (backend.*method)(FilterOf(call));
  return rows ? JsonResponse(200, ToJson(name, *rows))
              : ErrorResponse(rows.error());
}

AdminResponse Health(AdminBackend& /*backend*/, const Call& /*call*/) {
  return AdminResponse{200, kTextType, "ok\n", ""};
}

AdminResponse Ready(AdminBackend& backend, const Call& /*call*/) {
  const Result<void> ready = backend.Ready();
  // A load balancer expects 503 whatever the reason is.
  return ready ? AdminResponse{200, kTextType, "ready\n", ""}
               : JsonResponse(503, ToJson(ready.error()));
}

AdminResponse Metrics(AdminBackend& backend, const Call& /*call*/) {
  return AdminResponse{200, kTextType, backend.Metrics(), ""};
}

AdminResponse State(AdminBackend& backend, const Call& /*call*/) {
  return JsonResponse(200, backend.State());
}

AdminResponse GetSheet(AdminBackend& backend, const Call& /*call*/) {
  return Reply(backend.GetSheet());
}

AdminResponse CheckSheet(AdminBackend& backend, const Call& call) {
  return Reply(backend.CheckSheet(call.body));
}

AdminResponse DiffSheet(AdminBackend& backend, const Call& call) {
  return Reply(backend.DiffSheet(call.body));
}

AdminResponse ApplySheet(AdminBackend& backend, const Call& call) {
  return Reply(backend.ApplySheet(call.body, QueryValue(call, "apply_id")));
}

AdminResponse Status(AdminBackend& backend, const Call& /*call*/) {
  return Reply(backend.Status());
}

AdminResponse Projects(AdminBackend& backend, const Call& call) {
  return ReplyList(backend, call, "projects", &AdminBackend::Projects);
}

AdminResponse Pools(AdminBackend& backend, const Call& call) {
  return ReplyList(backend, call, "pools", &AdminBackend::Pools);
}

AdminResponse Instances(AdminBackend& backend, const Call& call) {
  return ReplyList(backend, call, "instances", &AdminBackend::Instances);
}

AdminResponse Ledger(AdminBackend& backend, const Call& call) {
  return ReplyList(backend, call, "ledger", &AdminBackend::Ledger);
}

AdminResponse SubmitJob(AdminBackend& backend, const Call& call) {
  const Result<JobSubmission> job = ParseJobSubmission(call.body);
  return job ? Reply(backend.SubmitJob(*job), 201) : ErrorResponse(job.error());
}

AdminResponse Jobs(AdminBackend& backend, const Call& call) {
  return ReplyList(backend, call, "jobs", &AdminBackend::Jobs);
}

AdminResponse GetJob(AdminBackend& backend, const Call& call) {
  return Reply(backend.GetJob(ProjectId(call.ids[0]), JobId(call.ids[1])));
}

AdminResponse CancelJob(AdminBackend& backend, const Call& call) {
  return Reply(backend.CancelJob(ProjectId(call.ids[0]), JobId(call.ids[1])));
}

AdminResponse StartMaintenance(AdminBackend& backend, const Call& call) {
  const Result<RolloutStart> start = ParseRolloutStart(call.body);
  return start ? Reply(backend.StartMaintenance(*start))
               : ErrorResponse(start.error());
}

AdminResponse PauseMaintenance(AdminBackend& backend, const Call& call) {
  const Result<ProjectId> project = ParseProjectBody(call.body);
  return project ? Reply(backend.PauseMaintenance(*project))
                 : ErrorResponse(project.error());
}

AdminResponse ResumeMaintenance(AdminBackend& backend, const Call& call) {
  const Result<ProjectId> project = ParseProjectBody(call.body);
  return project ? Reply(backend.ResumeMaintenance(*project))
                 : ErrorResponse(project.error());
}

AdminResponse Maintenance(AdminBackend& backend, const Call& call) {
  return ReplyList(backend, call, "maintenance", &AdminBackend::Maintenance);
}

AdminResponse RemoveEntry(AdminBackend& backend, const Call& call) {
  return Reply(backend.RemoveEntry(EntryId(call.ids[0])));
}

constexpr absl::string_view kGet = "GET";
constexpr absl::string_view kPost = "POST";
constexpr absl::string_view kDelete = "DELETE";
constexpr absl::string_view kPlaceFilter = "project,pool,data_centre";

const Route kRoutes[] = {
    {kGet, "/healthz", true, 0, "", Health},
    {kGet, "/readyz", true, 0, "", Ready},
    {kGet, "/metrics", true, 0, "", Metrics},
    {kGet, "/state", false, 0, "", State},
    {kGet, "/v1/sheet", false, 0, "", GetSheet},
    {kPost, "/v1/sheet/check", false, kMaxUploadBytes, "", CheckSheet},
    {kPost, "/v1/sheet/diff", false, kMaxUploadBytes, "", DiffSheet},
    {kPost, "/v1/sheet/apply", false, kMaxUploadBytes, "apply_id", ApplySheet},
    {kGet, "/v1/status", false, 0, "", Status},
    {kGet, "/v1/projects", false, 0, "project,team", Projects},
    {kGet, "/v1/pools", false, 0, kPlaceFilter, Pools},
    {kGet, "/v1/instances", false, 0, "project,pool,data_centre,state",
     Instances},
    {kGet, "/v1/ledger", false, 0, "project,data_centre", Ledger},
    {kPost, "/v1/jobs", false, kMaxAdminJsonBytes, "", SubmitJob},
    {kGet, "/v1/jobs", false, 0, "project,team,pool,state", Jobs},
    {kGet, "/v1/jobs/*/*", false, 0, "", GetJob},
    {kDelete, "/v1/jobs/*/*", false, 0, "", CancelJob},
    {kPost, "/v1/maintenance/start", false, kMaxAdminJsonBytes, "",
     StartMaintenance},
    {kPost, "/v1/maintenance/pause", false, kMaxAdminJsonBytes, "",
     PauseMaintenance},
    {kPost, "/v1/maintenance/resume", false, kMaxAdminJsonBytes, "",
     ResumeMaintenance},
    {kGet, "/v1/maintenance", false, 0, "project", Maintenance},
    {kPost, "/v1/entries/*/remove", false, 0, "", RemoveEntry},
};

// Fills `ids` with the segments matched by "*".
bool MatchPath(absl::string_view pattern,
               absl::string_view path,
               std::vector<std::string>* ids) {
  ids->clear();
  const std::vector<absl::string_view> wanted = absl::StrSplit(pattern, '/');
  const std::vector<absl::string_view> given = absl::StrSplit(path, '/');
  if (wanted.size() != given.size()) {
    return false;
  }
  for (size_t i = 0; i < wanted.size(); ++i) {
    if (wanted[i] == "*" && IsValidId(given[i])) {
      ids->emplace_back(given[i]);
    } else if (wanted[i] != given[i]) {
      return false;
    }
  }
  return true;
}

// Query values are ids and state names, which need no percent-encoding; other
// characters are refused.
Result<std::map<std::string, std::string>> ParseQuery(
    absl::string_view query,
    absl::string_view allowed) {
  std::map<std::string, std::string> values;
  if (query.empty()) {
    return values;
  }
  const std::vector<absl::string_view> names =
      absl::StrSplit(allowed, ',', absl::SkipEmpty());
  for (const absl::string_view part : absl::StrSplit(query, '&')) {
    const std::pair<absl::string_view, absl::string_view> field =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    bool known = false;
    for (const absl::string_view name : names) {
      known = known || name == field.first;
    }
    if (!known) {
      return Fail(
          ErrorCode::kInvalid, kRouteStep, "",
          absl::StrCat("unknown query parameter \"", field.first, "\""));
    }
    if (!IsValidId(field.second) ||
        !values.emplace(field.first, field.second).second) {
      return Fail(ErrorCode::kInvalid, kRouteStep, "",
                  absl::StrCat("query parameter \"", field.first,
                               "\" is repeated or not a valid id"));
    }
  }
  return values;
}

// True for a path below an API version other than "/v1".
bool IsUnknownVersion(absl::string_view path) {
  if (!absl::ConsumePrefix(&path, "/v")) {
    return false;
  }
  const absl::string_view version = path.substr(0, path.find('/'));
  for (const char c : version) {
    if (!absl::ascii_isdigit(static_cast<unsigned char>(c))) {
      return false;
    }
  }
  return !version.empty() && version != "1";
}

AdminResponse NoRoute(absl::string_view path,
                      const std::vector<std::string>& allowed) {
  if (allowed.empty()) {
    return RouteError(404, ErrorCode::kNotFound,
                      IsUnknownVersion(path)
                          ? "unknown API version; this server has v1"
                          : "unknown path");
  }
  std::string allow;
  for (const std::string& method : allowed) {
    absl::StrAppend(&allow, allow.empty() ? "" : ", ", method);
  }
  AdminResponse response =
      RouteError(405, ErrorCode::kInvalid,
                 absl::StrCat("method not allowed; allowed: ", allow));
  response.allow = allow;
  return response;
}

AdminResponse Run(const Route& route,
                  absl::string_view query,
                  AdminBackend& backend,
                  Call call) {
  if (call.body.size() > route.max_body) {
    return RouteError(413, ErrorCode::kInvalid,
                      route.max_body == 0
                          ? std::string("this request takes no body")
                          : absl::StrCat("the body has ", call.body.size(),
                                         " bytes; at most ", route.max_body,
                                         " are accepted"));
  }
  if (route.max_body > 0 && call.body.empty()) {
    return RouteError(400, ErrorCode::kInvalid, "the body is empty");
  }
  Result<std::map<std::string, std::string>> values =
      ParseQuery(query, route.query);
  if (!values) {
    return ErrorResponse(values.error());
  }
  call.query = std::move(*values);
  return route.handler(backend, call);
}

}  // namespace

int HttpStatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
    case ErrorCode::kCancelled:
      return 409;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kUnknownOutcome:
    case ErrorCode::kDeadlineExceeded:
      return 504;
    case ErrorCode::kResourceExhausted:
      return 429;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kRefused:
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

AdminRouter::AdminRouter(AdminBackend& backend, std::string credential)
    : backend_(backend), credential_(std::move(credential)) {}

AdminResponse AdminRouter::Handle(const AdminRequest& request) const {
  const absl::string_view target = request.target;
  const size_t mark = target.find('?');
  const absl::string_view path = target.substr(0, mark);
  const absl::string_view query = mark == absl::string_view::npos
                                      ? absl::string_view()
                                      : target.substr(mark + 1);
  const bool authorized = CredentialMatches(credential_, request.bearer_token);
  Call call;
  call.body = request.body;
  std::vector<std::string> allowed;
  for (const Route& route : kRoutes) {
    if (!MatchPath(route.path, path, &call.ids)) {
      continue;
    }
    if (!route.open && !authorized) {
      break;
    }
    if (route.method == request.method) {
      return Run(route, query, backend_, std::move(call));
    }
    allowed.emplace_back(route.method);
  }
  // Without the credential, unknown and known paths are not told apart.
  if (!authorized && allowed.empty()) {
    return RouteError(401, ErrorCode::kPermissionDenied,
                      "missing or wrong bearer credential");
  }
  return NoRoute(path, allowed);
}

HttpResponse AdminRouter::Handle(const HttpRequest& request) const {
  AdminRequest admin{request.method, request.target, "", request.body};
  for (const auto& [name, value] : request.headers) {
    if (absl::EqualsIgnoreCase(name, "Authorization")) {
      absl::string_view token = value;
      if (absl::StartsWithIgnoreCase(token, "Bearer ")) {
        admin.bearer_token =
            std::string(absl::StripAsciiWhitespace(token.substr(7)));
      }
    }
  }
  AdminResponse response = Handle(admin);
  HttpResponse http{response.status,
                    {{"Content-Type", std::move(response.content_type)}},
                    std::move(response.body)};
  if (!response.allow.empty()) {
    http.headers.emplace_back("Allow", std::move(response.allow));
  }
  if (response.status == 401) {
    http.headers.emplace_back("WWW-Authenticate", "Bearer");
  }
  return http;
}

}  // namespace figflow
