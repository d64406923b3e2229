#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace heatherspan {

/// A stand-in for the platform's store: one listing, watches, leases. Thread-safe.
class KvStandin {
 public:
  explicit KvStandin(const Endpoint& listen = {"127.0.0.1", 0});
  ~KvStandin();

  auto endpoint() const -> const Endpoint& { return endpoint_; }
  auto Put(const std::string& key, const std::string& value) -> void;
  auto Remove(const std::string& key) -> void;
  auto Has(const std::string& key) const -> bool;
  /// Answers every call with 503 from now on, or no longer.
  auto SetDown(bool down) -> void;
  /// Watches from before now get 410.
  auto DiscardHistory() -> void;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Watch {
    std::uint64_t after = 0;
    MonotonicTime deadline;  ///< An answer without events is due.
    HttpServer::Responder respond;
  };

  auto Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void;
  auto List() const -> std::string;
  auto EventsAfter(std::uint64_t revision) const -> std::string;
  auto Write(const std::string& body) -> std::string;
  auto EndLease(std::uint64_t lease) -> void;
  /// Ends what has lasted its time: leases and watches.
  auto ExpireLeasesAndWatches() -> void;
  auto Notify() -> void;

  mutable std::recursive_mutex mutex_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, std::string> history_;  ///< Events as JSON, by revision.
  std::uint64_t revision_ = 1;
  std::uint64_t discarded_revision_ = 0;  ///< Revisions up to this one have no history.
  std::uint64_t last_lease_ = 0;
  std::map<std::uint64_t, MonotonicTime> leases_;  ///< Until when each lasts.
  bool down_ = false;
  WorkerPool workers_{1};
  HttpServer server_;
  Endpoint endpoint_;
  std::vector<Watch> watches_;  ///< Their responders need the workers to exist.
  std::shared_ptr<WorkerPool::Timer> expiry_timer_;
};

}  // namespace heatherspan
