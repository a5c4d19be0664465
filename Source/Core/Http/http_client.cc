#include "Http/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <utility>

#include "Http/client_loop.h"
#include "absl/hash/hash.h"

namespace figflow {
namespace {

void InitLibrary() {
  static const CURLcode initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialized;
}

}  // namespace

HttpClient::HttpClient(const HttpClientOptions& options,
                       MetricsRegistry& metrics) {
  InitLibrary();
  for (unsigned i = 0; i < std::max(1U, options.threads); ++i) {
    loops_.push_back(std::make_unique<ClientLoop>(options, metrics));
  }
}

HttpClient::~HttpClient() = default;

uint64_t HttpClient::Start(TransferRequest request, TransferCallback done) {
  const size_t loop =
      absl::Hash<std::string>()(request.address) % loops_.size();
  // The id names the loop, so that Cancel needs no table.
  const uint64_t id =
      next_id_.fetch_add(1, std::memory_order_relaxed) * loops_.size() + loop;
  loops_[loop]->Start(id, std::move(request), std::move(done));
  return id;
}

void HttpClient::Cancel(uint64_t id) {
  loops_[id % loops_.size()]->Cancel(id);
}

void HttpClient::CancelIfSilent(uint64_t id) {
  loops_[id % loops_.size()]->CancelIfSilent(id);
}

void HttpClient::SetConnectionLimit(const std::string& address, int limit) {
  LoopOf(address).SetConnectionLimit(address, limit);
}

int HttpClient::OpenConnections(const std::string& address) const {
  return LoopOf(address).OpenConnections(address);
}

MonoTime::duration HttpClient::TakeLag() {
  MonoTime::duration worst{0};
  for (const auto& loop : loops_) {
    worst = std::max(worst, loop->TakeLag());
  }
  return worst;
}

ClientLoop& HttpClient::LoopOf(const std::string& address) const {
  return *loops_[absl::Hash<std::string>()(address) % loops_.size()];
}

}  // namespace figflow
