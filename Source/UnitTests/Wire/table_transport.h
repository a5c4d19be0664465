#ifndef WIRE_TABLE_TRANSPORT_H_
#define WIRE_TABLE_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "Common/json.h"

#include "Http/http_transport.h"

namespace figflow::test {

// Answers each request with the next prepared result.
class TableTransport : public HttpTransport {
 public:
  uint64_t Start(TransferRequest request, TransferCallback done) override {
    requests.push_back(*request.message);
    answer_time = request.answer_time;
    max_answer_bytes = request.max_answer_bytes;
    stall_time = request.stall_time;
    send_by = request.send_by;
    TransferResult result;
    result.sent = sent;
    if (status == 0) {
      result.response = Fail(error, "test", "", "connection lost");
    } else {
      HttpResponse response;
      response.status = status;
      response.body = body;
      result.response = response;
    }
    done(std::move(result));
    return requests.size();
  }
  void Cancel(uint64_t /*id*/) override {}
  void CancelIfSilent(uint64_t id) override { cancelled = id; }

  nlohmann::json LastBody() const {
    return nlohmann::json::parse(requests.back().body);
  }

  // Of a call without an answer.
  ErrorCode error = ErrorCode::kUnknownOutcome;
  bool sent = true;
  // 0: no answer.
  int status = 200;
  std::string body;
  std::vector<HttpRequest> requests;
  uint64_t cancelled = 0;
  // Of the latest request.
  std::chrono::milliseconds answer_time{0};
  size_t max_answer_bytes = 0;
  std::chrono::milliseconds stall_time{0};
  MonoTime send_by;
};

}  // namespace figflow::test

#endif  // WIRE_TABLE_TRANSPORT_H_
