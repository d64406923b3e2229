#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <utility>

#include "net/eviction_queue.h"
#include "net/http_server.h"
#include "net/memory_account.h"

namespace heatherspan {

class HttpConnection;

/// What the connections of an HttpServer share with it.
struct HttpServerState {
  explicit HttpServerState(std::shared_ptr<MemoryAccount> account) : memory(std::move(account)) {}

  const std::shared_ptr<MemoryAccount> memory;
  std::atomic<std::shared_ptr<const HttpServer::Limits>> limits;
  HttpServer::Handler handler;
  HttpServer::RefusalObserver on_refusal;  ///< May be empty.
  std::atomic<bool> closing{false};        ///< Each response closes its connection.
  std::atomic<bool> draining{false};       ///< Idle connections are closed as well.
  std::atomic<bool> stopped{false};
  std::atomic<std::size_t> active{0};
  std::atomic<std::size_t> bad_request{0};
  std::atomic<std::size_t> header_too_large{0};
  std::atomic<std::size_t> body_too_large{0};
  std::atomic<std::size_t> request_timeout{0};
  std::atomic<std::size_t> too_many_connections{0};
  std::atomic<std::size_t> evicted{0};
  std::atomic<std::size_t> caller_gone{0};
  std::atomic<std::size_t> no_memory{0};

  std::mutex mutex;
  // Guarded by the mutex.
  std::unordered_set<std::shared_ptr<HttpConnection>> connections;
  EvictionQueue evictions;
};

}  // namespace heatherspan
