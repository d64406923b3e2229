#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "net/http_client.h"
#include "net/memory_account.h"

namespace heatherspan {

class HttpClientConnection;

/// The connections of an HttpClient, by endpoint. Thread-safe.
class HttpClientState {
 public:
  HttpClientState(HttpClient::Limits limits, std::shared_ptr<MemoryAccount> memory)
      : limits_(std::move(limits)), memory_(std::move(memory)) {}

  auto limits() const -> const HttpClient::Limits& { return limits_; }

  auto memory() const -> const std::shared_ptr<MemoryAccount>& { return memory_; }

  /// Memory of the response bodies that are being read, small ones apart.
  auto reading_bytes() const -> std::size_t { return reading_bytes_.load(); }
  auto ChangeReadingBytes(std::size_t before, std::size_t after) -> void {
    reading_bytes_.fetch_add(after - before);
  }

  /// A connection that has been idle for at most that time, or a new one from the function; null at
  /// the limit or after Stop.
  auto Take(const Endpoint& endpoint, Duration max_idle,
            const std::function<std::shared_ptr<HttpClientConnection>()>& create)
      -> std::shared_ptr<HttpClientConnection>;
  /// Takes back a connection whose exchange is over. False after Stop: the connection must close.
  auto GiveBack(const Endpoint& endpoint, const std::shared_ptr<HttpClientConnection>& connection)
      -> bool;
  /// Forgets a connection that is in use and has closed.
  auto Forget(const Endpoint& endpoint, const std::shared_ptr<HttpClientConnection>& connection)
      -> void;
  /// Forgets a connection that has closed while idle. False if an exchange took it meanwhile.
  auto ForgetIdle(const Endpoint& endpoint, const std::shared_ptr<HttpClientConnection>& connection)
      -> bool;
  /// Returns all connections, which the caller has to close; no further one is handed out.
  auto Stop() -> std::vector<std::shared_ptr<HttpClientConnection>>;

 private:
  using Connections = std::unordered_set<std::shared_ptr<HttpClientConnection>>;

  struct Idle {
    std::shared_ptr<HttpClientConnection> connection;
    MonotonicTime since;
  };

  struct Pool {
    Connections open;
    std::vector<Idle> idle;  ///< The last one was used last.
  };

  const HttpClient::Limits limits_;
  const std::shared_ptr<MemoryAccount> memory_;
  std::atomic<std::size_t> reading_bytes_{0};
  std::mutex mutex_;
  absl::flat_hash_map<Endpoint, Pool> pools_;  ///< Guarded by the mutex, as is the flag.
  bool stopped_ = false;
};

}  // namespace heatherspan
