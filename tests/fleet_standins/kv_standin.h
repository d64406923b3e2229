#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/time.h"
#include "net/http_server.h"
#include "net/worker_pool.h"

namespace heatherspan {

/// A stand-in for the platform's store with listings in one page, watches and leases. Thread-safe.
class KvStandin {
 public:
  explicit KvStandin(const Endpoint& listen = {"127.0.0.1", 0});
  ~KvStandin();

  auto endpoint() const -> const Endpoint& { return endpoint_; }
  /// A second address of the store, for the entry VMs that it can turn away.
  auto second_endpoint() const -> const Endpoint& { return second_endpoint_; }
  /// Leaves calls to the second address without an answer, while calls to the first are answered.
  auto SetSecondSilent(bool silent) -> void;
  auto Put(const std::string& key, const std::string& value) -> void;
  using Rewrite = std::function<std::string(std::string value)>;
  /// Changes the values that VMs write from now on.
  auto SetRewrite(Rewrite rewrite) -> void;
  auto Remove(const std::string& key) -> void;
  auto Has(const std::string& key) const -> bool;
  /// Makes the store answer every call with 503 while `down` is set.
  auto SetDown(bool down) -> void;
  /// Keeps a copy of the store, and brings the store back as it was then. Revisions go back, and
  /// the era rises.
  auto Save() -> void;
  /// `is_repeated`: whether what was done to a key since is done again at once.
  auto Restore(const std::function<bool(const std::string& key)>& is_repeated = {}) -> void;
  /// Discards the history so far. A watch after an older revision gets 410.
  auto DiscardHistory() -> void;

 private:
  struct Item {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
  };
  struct Watch {
    std::uint64_t after = 0;
    MonotonicTime deadline;  ///< The watch is answered without events at this time.
    HttpServer::Responder respond;
  };

  auto Answer(int status, std::string body) const -> HttpResponse;
  auto Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void;
  auto HandleSecond(const HttpRequest& request, const HttpServer::Responder& respond) -> void;
  auto List() const -> std::string;
  auto EventsAfter(std::uint64_t revision) const -> std::string;
  auto Write(const std::string& body) -> std::string;
  auto EndLease(std::uint64_t lease) -> void;
  /// Ends the leases and watches whose deadline has passed.
  auto ExpireLeasesAndWatches() -> void;
  auto Notify() -> void;

  mutable std::recursive_mutex mutex_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, std::string> history_;  ///< Events as JSON, by revision.
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::map<std::string, Item> saved_items_;
  std::uint64_t saved_revision_ = 1;
  std::map<std::uint64_t, MonotonicTime> saved_leases_;
  std::uint64_t discarded_revision_ = 0;  ///< The history starts after this revision.
  std::uint64_t last_lease_ = 0;
  std::map<std::uint64_t, MonotonicTime> leases_;  ///< Deadlines of the leases, by id.
  Rewrite rewrite_;
  bool down_ = false;
  WorkerPool workers_{1};
  HttpServer server_;
  HttpServer second_server_;
  Endpoint endpoint_;
  Endpoint second_endpoint_;
  bool second_silent_ = false;
  std::vector<HttpServer::Responder> unanswered_;  ///< Of calls to the silent address.
  std::vector<Watch> watches_;  ///< Declared after workers_; the responders use the workers.
  std::shared_ptr<WorkerPool::Timer> expiry_timer_;
};

}  // namespace heatherspan
