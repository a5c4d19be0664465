#ifndef HTTP_HTTP_STATUS_H_
#define HTTP_HTTP_STATUS_H_

namespace figflow::http_status {

inline constexpr int kOk = 200;
inline constexpr int kCreated = 201;
inline constexpr int kAccepted = 202;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kTooManyRequests = 429;
// A caller went away before it had an answer.
inline constexpr int kClientClosed = 499;
// Codes from here on tell of faults of the server.
inline constexpr int kServerError = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kServiceUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace figflow::http_status

#endif  // HTTP_HTTP_STATUS_H_
