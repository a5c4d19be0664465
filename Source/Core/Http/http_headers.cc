#include "Http/http_headers.h"

#include <algorithm>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace figflow {
namespace {

constexpr absl::string_view kHopByHop[] = {"connection",
                                           "keep-alive",
                                           "proxy-authenticate",
                                           "proxy-authorization",
                                           "te",
                                           "proxy-connection",
                                           "trailer",
                                           "upgrade",
                                           "transfer-encoding"};

bool IsHopByHop(absl::string_view name) {
  return std::any_of(std::begin(kHopByHop), std::end(kHopByHop),
                     [name](absl::string_view hop) {
                       return absl::EqualsIgnoreCase(hop, name);
                     });
}

}  // namespace

const std::string* FindHeader(const HttpHeaders& headers,
                              absl::string_view name) {
  for (const auto& [field, value] : headers) {
    if (absl::EqualsIgnoreCase(field, name)) {
      return &value;
    }
  }
  return nullptr;
}

bool HeaderHasToken(const HttpHeaders& headers,
                    absl::string_view name,
                    absl::string_view token) {
  for (const auto& [field, value] : headers) {
    if (!absl::EqualsIgnoreCase(field, name)) {
      continue;
    }
    for (const absl::string_view part : absl::StrSplit(value, ',')) {
      if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part), token)) {
        return true;
      }
    }
  }
  return false;
}

void RemoveHeader(HttpHeaders& headers, absl::string_view name) {
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [name](const auto& field) {
                                 return absl::EqualsIgnoreCase(field.first,
                                                               name);
                               }),
                headers.end());
}

void StripHopByHop(HttpHeaders& headers, bool keep_length) {
  std::vector<std::string> named;
  for (const auto& [field, value] : headers) {
    if (absl::EqualsIgnoreCase(field, "connection")) {
      for (const absl::string_view part : absl::StrSplit(value, ',')) {
        named.emplace_back(absl::StripAsciiWhitespace(part));
      }
    }
  }
  const auto drop = [&](const auto& header) {
    const std::string& name = header.first;
    if (absl::EqualsIgnoreCase(name, "content-length")) {
      return !keep_length;
    }
    return IsHopByHop(name) ||
           std::any_of(named.begin(), named.end(), [&](const auto& other) {
             return absl::EqualsIgnoreCase(other, name);
           });
  };
  headers.erase(std::remove_if(headers.begin(), headers.end(), drop),
                headers.end());
}

}  // namespace figflow
