#ifndef HTTP_LISTEN_ADDRESS_H_
#define HTTP_LISTEN_ADDRESS_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include "Common/error.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Parses "1.2.3.4:80" or "[::1]:80" for bind; port 0 asks for a free port.
Result<sockaddr_storage> ParseListenAddress(absl::string_view text);

}  // namespace figflow

#endif  // HTTP_LISTEN_ADDRESS_H_
