#ifndef HTTP_HTTP_HEADERS_H_
#define HTTP_HTTP_HEADERS_H_

#include <string>

#include "Http/http_message.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Value of the first field named `name`, or null. The pointer is valid until
// `headers` changes.
const std::string* FindHeader(const HttpHeaders& headers,
                              absl::string_view name);

// True if a field named `name` has `token` in its comma-separated value.
bool HeaderHasToken(const HttpHeaders& headers,
                    absl::string_view name,
                    absl::string_view token);

void RemoveHeader(HttpHeaders& headers, absl::string_view name);

// Removes the fields that describe one connection and not the message
// (RFC 9110, section 7.6.1), those that the Connection field names, and the
// framing fields, which the sender of the message sets anew. `keep_length`
// keeps Content-Length, which in the response to HEAD is not framing.
void StripHopByHop(HttpHeaders& headers, bool keep_length);

}  // namespace figflow

#endif  // HTTP_HTTP_HEADERS_H_
