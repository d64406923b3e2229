#include "net/http_client.h"

#include <atomic>
#include <future>
#include <utility>

#include "fmt/format.h"
#include "net/http_client_connection.h"
#include "net/http_client_state.h"
#include "net/http_text.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

// SendAndWait trusts the exchange to keep its own timeout; this only guards against stopped
// workers.
constexpr auto kWaitMargin = std::chrono::seconds(5);

class ConnectionExchange final : public HttpClient::Exchange {
 public:
  ConnectionExchange(std::shared_ptr<HttpClientConnection> connection, std::uint64_t number)
      : connection_(std::move(connection)), number_(number) {}

  auto Cancel() -> void override { connection_->Cancel(number_); }

 private:
  const std::shared_ptr<HttpClientConnection> connection_;
  const std::uint64_t number_;
};

/// An exchange that failed before it had a connection.
class FailedExchange final : public HttpClient::Exchange {
 public:
  auto Cancel() -> void override {}
};

}  // namespace

class HttpClient::Impl {
 public:
  Impl(WorkerPool& workers, Limits limits, std::shared_ptr<MemoryAccount> memory)
      : workers_(workers),
        state_(std::make_shared<HttpClientState>(
            std::move(limits),
            memory == nullptr ? std::make_shared<MemoryAccount>() : std::move(memory))) {}

  ~Impl() {
    for (const auto& connection : state_->Stop()) connection->Close();
  }

  Impl(const Impl&) = delete;
  auto operator=(const Impl&) -> Impl& = delete;

  auto Send(const Endpoint& endpoint, HttpRequest request, Duration timeout,
            const SendOptions& options, Callback callback) -> std::shared_ptr<Exchange> {
    if (auto status = CheckRequestText(request); !status.ok()) {
      return FailLater(std::move(status), std::move(callback));
    }
    auto connection = state_->Take(endpoint, options.max_idle, [&] {
      return HttpClientConnection::Create(workers_, endpoint, state_);
    });
    if (connection == nullptr) {
      return FailLater(absl::ResourceExhaustedError(fmt::format(
                           "all {} connections to {} are in use",
                           state_->limits().max_connections_per_endpoint, endpoint.Text())),
                       std::move(callback));
    }
    const auto number = next_exchange_.fetch_add(1) + 1;
    connection->Begin(number, std::move(request), timeout, std::move(callback));
    return std::make_shared<ConnectionExchange>(std::move(connection), number);
  }

  auto reading_bytes() const -> std::size_t { return state_->reading_bytes(); }

 private:
  auto FailLater(absl::Status status, Callback callback) -> std::shared_ptr<Exchange> {
    workers_.Post([status = std::move(status), callback = std::move(callback)] {
      callback({.status = status, .progress = SendProgress::kNothingWritten, .response = {}});
    });
    return std::make_shared<FailedExchange>();
  }

  WorkerPool& workers_;
  const std::shared_ptr<HttpClientState> state_;
  std::atomic<std::uint64_t> next_exchange_{0};
};

HttpClient::HttpClient(WorkerPool& workers, Limits limits, std::shared_ptr<MemoryAccount> memory)
    : impl_(std::make_shared<Impl>(workers, std::move(limits), std::move(memory))) {}

HttpClient::~HttpClient() = default;

auto HttpClient::Send(const Endpoint& endpoint, HttpRequest request, Duration timeout,
                      Callback callback) -> std::shared_ptr<Exchange> {
  return Send(endpoint, std::move(request), timeout, SendOptions{}, std::move(callback));
}

auto HttpClient::Send(const Endpoint& endpoint, HttpRequest request, Duration timeout,
                      const SendOptions& options, Callback callback) -> std::shared_ptr<Exchange> {
  return impl_->Send(endpoint, std::move(request), timeout, options, std::move(callback));
}

auto HttpClient::reading_bytes() const -> std::size_t { return impl_->reading_bytes(); }

auto HttpClient::SendAndWait(const Endpoint& endpoint, HttpRequest request, Duration timeout)
    -> HttpResult {
  auto promise = std::make_shared<std::promise<HttpResult>>();
  auto future = promise->get_future();
  const auto exchange = Send(endpoint, std::move(request), timeout, [promise](HttpResult result) {
    promise->set_value(std::move(result));
  });
  if (future.wait_for(timeout + kWaitMargin) == std::future_status::ready) return future.get();
  exchange->Cancel();
  return {.status = absl::DeadlineExceededError("the workers did not run the exchange"),
          .progress = SendProgress::kWritten,
          .response = {}};
}

}  // namespace heatherspan
