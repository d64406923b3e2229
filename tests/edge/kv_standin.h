#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/worker_pool.h"

namespace heatherspan {

/// A stand-in for the platform's store: one listing, one watch at a time, leases that last until
/// they are ended. Thread-safe.
class KvStandin {
 public:
  KvStandin();
  ~KvStandin();

  auto endpoint() const -> const Endpoint& { return endpoint_; }
  auto Put(const std::string& key, const std::string& value) -> void;
  auto Remove(const std::string& key) -> void;
  auto Has(const std::string& key) const -> bool;
  /// Answers every call with 503 from now on, or no longer.
  auto SetDown(bool down) -> void;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Watch {
    std::uint64_t after = 0;
    HttpServer::Responder respond;
  };

  auto Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void;
  auto List() const -> std::string;
  auto EventsAfter(std::uint64_t revision) const -> std::string;
  auto Write(const std::string& body) -> std::string;
  auto EndLease(std::uint64_t lease) -> void;
  auto Notify() -> void;

  mutable std::recursive_mutex mutex_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, std::string> history_;  ///< Events as JSON, by revision.
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 0;
  bool down_ = false;
  WorkerPool workers_{1};
  HttpServer server_;
  Endpoint endpoint_;
  std::vector<Watch> watches_;  ///< Their responders need the workers to exist.
};

}  // namespace heatherspan
