#pragma once

#include <utility>

#include "ctl/admin_transport.h"
#include "net/http_client.h"
#include "net/worker_pool.h"

namespace heatherspan {

/// Sends over the network.
class HttpTransport {
 public:
  explicit HttpTransport(Duration timeout) : timeout_(timeout) {}

  auto Send(const Endpoint& endpoint, HttpRequest request) -> HttpResult {
    return client_.SendAndWait(endpoint, std::move(request), timeout_);
  }

 private:
  // Documents of 110,000 client blocks have 7.4 MiB in TOML.
  static constexpr std::size_t kMaxResponseBytes = std::size_t{32} * 1024 * 1024;

  static auto Limits() -> HttpClient::Limits {
    HttpClient::Limits limits;
    limits.max_response_bytes = kMaxResponseBytes;
    return limits;
  }

  Duration timeout_;
  WorkerPool workers_{1};
  HttpClient client_{workers_, Limits()};
};

static_assert(AdminTransport<HttpTransport>);

}  // namespace heatherspan
