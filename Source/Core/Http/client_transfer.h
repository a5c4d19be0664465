#ifndef HTTP_CLIENT_TRANSFER_H_
#define HTTP_CLIENT_TRANSFER_H_

#include <curl/curl.h>

#include <cstdint>
#include <string>

#include "Common/clock.h"
#include "Http/address_pool.h"
#include "Http/http_client.h"

namespace figflow {

// One transfer with its easy handle. Transfers are reused: preparing an easy
// handle anew costs more than the options that differ between requests. Used
// on the thread of its loop only.
class ClientTransfer {
 public:
  explicit ClientTransfer(const HttpClientOptions& options);
  ~ClientTransfer();
  ClientTransfer(const ClientTransfer&) = delete;
  ClientTransfer& operator=(const ClientTransfer&) = delete;

  void Assign(uint64_t id, TransferRequest request, TransferCallback done);

  // Sets the options for an attempt at `now`. Returns false if the request
  // holds characters that cannot be sent.
  bool Prepare(MonoTime now);

  // True if the attempt ended before sending because the reused connection was
  // closed by the target or had stray bytes on it; prepares a fresh one.
  bool TakeStaleConnection();

  // The result of an attempt that libcurl ended with `code`.
  TransferResult MakeResult(CURLcode code, MonoTime now);
  // The result of an attempt whose time is up.
  TransferResult MakeTimeout(MonoTime now);
  TransferResult MakeFailure(ErrorCode code, absl::string_view message);

  // Moves the callback out and releases the request.
  TransferCallback TakeCallback();

  CURL* easy() const { return easy_; }
  uint64_t id() const { return id_; }
  const std::string& address() const { return request_.address; }
  std::chrono::milliseconds answer_time() const { return request_.answer_time; }
  // When the transfer ends, whether a connection was made or not.
  MonoTime deadline() const { return request_.deadline; }
  void set_deadline(MonoTime deadline) { request_.deadline = deadline; }
  // When the attempt under way has to have a connection, and after that
  // deadline().
  MonoTime AttemptDeadline() const;
  // The body of the response comes, and may take as long as it keeps coming.
  bool streams() const {
    return head_ended_ && request_.stall_time.count() > 0;
  }
  // No byte of the response has come.
  bool silent() const { return head_bytes_ == 0; }
  std::chrono::milliseconds stall_time() const { return request_.stall_time; }
  // Whether bytes of the response have arrived since the last call. Unless it
  // streams, false after a few calls, so that a slow response does not hold off
  // its deadline.
  bool TakeProgress();

  AddressPool* pool = nullptr;
  // Waits for a connection of its address.
  bool queued = false;
  // Place among the deadlines of the loop; MonoTime::max() for none.
  MonoTime expires = MonoTime::max();

 private:
  static size_t OnHeader(char* data, size_t size, size_t count, void* self);
  static size_t OnBody(char* data, size_t size, size_t count, void* self);
  static int OnRequest(void* self,
                       char* remote_ip,
                       char* local_ip,
                       int remote_port,
                       int local_port);

  void AddTimes(TransferResult* result, MonoTime now) const;
  bool ReadHeaderLine(absl::string_view line);
  bool CheckFraming();
  bool BodyAllowed() const;

  CURL* const easy_;
  const HttpClientOptions& options_;
  uint64_t id_ = 0;
  TransferRequest request_;
  TransferCallback done_;
  curl_slist* headers_ = nullptr;

  MonoTime attempt_at_;
  size_t bytes_seen_ = 0;
  int late_reads_ = 0;
  bool sent_ = false;
  MonoTime sent_at_;
  bool stale_ = false;
  // The attempt ended before sending because of send_by.
  bool too_late_ = false;
  bool resend_refused_ = false;
  bool use_fresh_ = false;
  bool head_ended_ = false;
  MonoTime head_at_;
  bool too_large_ = false;
  size_t head_bytes_ = 0;
  // Body length by Content-Length; -1 for none.
  int64_t length_ = -1;
  bool chunked_ = false;
  // What is wrong with the framing; null if nothing.
  const char* framing_fault_ = nullptr;
  HttpResponse response_;
};

}  // namespace figflow

#endif  // HTTP_CLIENT_TRANSFER_H_
