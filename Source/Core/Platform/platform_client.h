#ifndef PLATFORM_PLATFORM_CLIENT_H_
#define PLATFORM_PLATFORM_CLIENT_H_

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "Common/json.h"

#include "Common/error.h"
#include "Common/metrics.h"
#include "absl/base/thread_annotations.h"
#include "absl/strings/string_view.h"
#include "absl/synchronization/mutex.h"

namespace figflow {

enum class CallEffect {
  // A repeated or lost call changes nothing.
  kRead,
  kWrite,
};

struct PlatformCall {
  // Label of the counters and step of errors, such as "kv.get".
  absl::string_view kind;
  CallEffect effect = CallEffect::kRead;
  // Path with query.
  std::string path;
  // Sent with POST; a null body makes the call a GET.
  nlohmann::json body;
  std::chrono::milliseconds timeout{0};
};

// What is known about a call that got no usable answer. `sent` is true once
// the request may have left this process.
ErrorCode LostCallCode(CallEffect effect, bool sent);

// Code for a complete answer with an HTTP status other than 200.
ErrorCode StatusCode(CallEffect effect, long status);

// Percent-encodes a query value.
std::string QueryEscape(absl::string_view value);

// Calls the platform's HTTP/JSON API (docs/platform-api.md). Thread-safe and
// blocking; each concurrent call uses a handle of its own, and idle handles
// keep their connection for the next call.
//
// Counters: figflow_platform_calls_total{kind="..."} and
// figflow_platform_errors_total{kind="...",code="..."}; histograms
// figflow_platform_read and figflow_platform_write (without watches).
class PlatformClient {
 public:
  // `address` is "ip:port". `metrics` must outlive the client.
  PlatformClient(std::string address, MetricsRegistry& metrics);
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Returns the answer's JSON object.
  Result<nlohmann::json> Call(const PlatformCall& call);

  // Ends reads in progress, waiting watches included, within about a second,
  // and fails later ones with kUnavailable. For the stop of the process.
  void CancelReads() { cancel_reads_ = true; }

  const std::string& address() const { return address_; }

 private:
  class Handle;

  std::unique_ptr<Handle> TakeHandle();
  void ReturnHandle(std::unique_ptr<Handle> handle);
  Result<nlohmann::json> Perform(const PlatformCall& call);

  const std::string address_;
  MetricsRegistry& metrics_;
  std::atomic<bool> cancel_reads_{false};
  absl::Mutex mutex_;
  std::vector<std::unique_ptr<Handle>> idle_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace figflow

#endif  // PLATFORM_PLATFORM_CLIENT_H_
