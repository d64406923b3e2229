#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/endpoint.h"
#include "base/time.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "soak/guarded.h"
#include "soak/promise_ledger.h"

namespace heatherspan {

class SoakBackendCalls;

/// A target that works for as long as a request's path says and tells the ledger what reaches it.
class SoakTarget {
 public:
  static constexpr int kSlots = 3;
  static constexpr int kQueue = 9;
  static constexpr Duration kColdTime = std::chrono::seconds(3);

  struct Identity {
    std::string name;
    std::string service;
    std::string zone;
    std::string region;
  };

  struct Manner {
    Duration idle_timeout = std::chrono::seconds(60);
    bool follows_pages = false;  ///< As in SoakShape.
  };

  /// The worker pool has one thread, which runs everything here. A harmful request is left without
  /// an answer after `on_harm`, which ends the target's connections.
  SoakTarget(WorkerPool& workers, const Endpoint& listen, Guarded<PromiseLedger>& ledger,
             const Manner& manner, SoakBackendCalls& calls, std::function<void()> on_harm);
  SoakTarget(const SoakTarget&) = delete;
  auto operator=(const SoakTarget&) -> SoakTarget& = delete;

  /// Begins a new life; a later one begins cold.
  auto Become(const Identity& identity, bool cold) -> void;
  auto SetDraining(bool draining) -> void;
  auto SetShedding(bool shedding) -> void;
  /// Refuses some of the requests from now on.
  auto SetNearlyFull(bool nearly_full) -> void;
  /// Names a limit of requests per second from now on, or none.
  auto SetLimit(std::optional<double> per_second) -> void;

 private:
  auto Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void;
  auto Work(const SeenArrival& arrival, const HttpRequest& request,
            const HttpServer::Responder& respond) -> void;
  auto Answer(const SeenArrival& arrival, int status) -> HttpResponse;
  auto Refusal(const SeenArrival& arrival) const -> HttpResponse;
  auto StateLimit(std::optional<double> per_second) -> void;
  auto AddNotices(const SeenArrival& arrival, HttpResponse& response) -> void;
  auto Health() const -> HttpResponse;
  auto ColdLeft() const -> Duration;

  WorkerPool& workers_;
  Guarded<PromiseLedger>& ledger_;
  const Manner manner_;
  SoakBackendCalls& calls_;
  const std::function<void()> on_harm_;
  Identity identity_;
  MonotonicTime cold_until_{};
  bool draining_ = false;
  bool shedding_ = false;
  bool nearly_full_ = false;
  int arrivals_ = 0;  ///< While it is nearly full.
  std::optional<double> limit_;
  int running_ = 0;
  HttpServer server_;
};

}  // namespace heatherspan
