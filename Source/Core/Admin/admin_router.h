#ifndef ADMIN_ADMIN_ROUTER_H_
#define ADMIN_ADMIN_ROUTER_H_

#include <string>

#include "Admin/admin_backend.h"
#include "Http/http_message.h"
#include "absl/strings/string_view.h"

namespace figflow {

// Largest sheet accepted; a sheet of 194 pools in 15 data centres has about
// 300 KB.
inline constexpr size_t kMaxUploadBytes = 4'000'000;
inline constexpr size_t kMaxAdminJsonBytes = 100'000;

struct AdminRequest {
  std::string method;
  // Path with query, starting with "/".
  std::string target;
  // From "Authorization: Bearer TOKEN"; empty when absent.
  std::string bearer_token;
  std::string body;
};

struct AdminResponse {
  int status = 200;
  std::string content_type;
  std::string body;
  // Value of the Allow header of a 405 response; otherwise empty.
  std::string allow;
};

// HTTP status for an error returned by the backend.
int HttpStatusOf(ErrorCode code);

// Maps requests of the operators' API to the backend. Holds no state besides
// its arguments and is safe to call from any thread.
class AdminRouter {
 public:
  // `backend` must outlive the router. With an empty `credential` only the
  // paths without credential answer.
  AdminRouter(AdminBackend& backend, std::string credential);

  AdminResponse Handle(const AdminRequest& request) const;
  // The same for a server of Http/: takes the token from the Authorization
  // header.
  HttpResponse Handle(const HttpRequest& request) const;

 private:
  AdminBackend& backend_;
  const std::string credential_;
};

}  // namespace figflow

#endif  // ADMIN_ADMIN_ROUTER_H_
