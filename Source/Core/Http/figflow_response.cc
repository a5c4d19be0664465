#include "Http/figflow_response.h"

#include "Common/json.h"

namespace figflow {

absl::string_view DispositionName(Disposition disposition) {
  return disposition == Disposition::kNotRun ? "not-run" : "unknown";
}

HttpResponse MakeFigflowResponse(const FigflowAnswer& answer) {
  const std::string disposition(DispositionName(answer.disposition));
  nlohmann::json body = {{"disposition", disposition},
                         {"reason", answer.reason},
                         {"step", answer.step},
                         {"peer", answer.peer}};
  if (!answer.message.empty()) {
    body["message"] = answer.message;
  }
  HttpResponse response;
  response.status = answer.status;
  response.headers = {{"Content-Type", "application/json"},
                      {"Figflow-Disposition", disposition},
                      {"Figflow-Reason", answer.reason}};
  // Invalid UTF-8 in a message must not turn an error into an exception.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace figflow
