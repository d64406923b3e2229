#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/admission_queue.h"
#include "admission/rate_limiter.h"
#include "admission/target_pool.h"
#include "base/random.h"
#include "base/time.h"
#include "daemon/demand_meter.h"
#include "daemon/node_identity.h"
#include "daemon/published_configuration.h"
#include "daemon/routed_request.h"
#include "daemon/share_source.h"
#include "messages/node_load.h"
#include "net/http_result.h"
#include "net/worker_pool.h"

namespace heatherspan {

class HttpClient;
class MetricsRegistry;

/// Runs requests at the targets that this node owns: cap share, slots, queue, one exchange each.
/// Thread-safe; `mutex_` is the admission lock of the lock order.
class Executor {
 public:
  Executor(WorkerPool& workers, HttpClient& client, MetricsRegistry& metrics,
           const PublishedConfiguration& configuration, NodeIdentity identity, ShareSource share,
           std::uint64_t seed);
  ~Executor();
  Executor(const Executor&) = delete;
  auto operator=(const Executor&) -> Executor& = delete;

  /// Starts the timer that ends waiting requests and probes idle targets.
  auto Start() -> void;

  /// Runs the request or refuses it. Calls back exactly once.
  auto Execute(RoutedRequest request, ForwardCallback callback) -> void;

  /// Takes over the targets that this node owns from now on.
  auto Configure(const std::vector<OwnedTargets>& services) -> void;
  auto SetDraining(const TargetName& target, bool draining) -> void;

  /// The rate of arriving requests, for the request of a leased share.
  auto Demand(MonotonicTime now) const -> RequestsPerSecond;
  auto Load(MonotonicTime now) const -> NodeLoad;
  /// Seconds since a target last answered a request or a probe; -1 before the first answer.
  auto MeasurementAgeSeconds(MonotonicTime now) const -> double;
  /// Requests that wait or are at a target.
  auto active_requests() const -> std::size_t;

 private:
  struct Waiting {
    RoutedRequest request;
    ForwardCallback callback;
  };
  /// What to do once the lock is released.
  struct Work {
    std::vector<std::function<void()>> actions;
    auto Run() -> void;
  };

  auto Admit(RoutedRequest& request, ForwardCallback& callback, RequestsPerSecond share, Work& work)
      -> void;
  auto Enqueue(RoutedRequest request, ForwardCallback callback, const Service& service,
               const Team* team, MonotonicTime now, Work& work) -> void;
  auto Dispatch(TargetSlot slot, RoutedRequest request, ForwardCallback callback, Work& work)
      -> void;
  auto OnExchangeEnd(const TargetSlot& slot, const ForwardCallback& callback, MonotonicTime sent,
                     HttpResult result) -> void;
  auto DrainQueue(MonotonicTime now, Work& work) -> void;
  auto OnTick() -> void;
  auto Probe(const std::shared_ptr<const Target>& target) -> void;
  auto AskForReport(const std::shared_ptr<const Target>& target) -> void;
  auto LoadLocked(MonotonicTime now) const -> NodeLoad;
  auto Refuse(const ForwardCallback& callback, const Refusal& refusal, MonotonicTime now,
              Work& work) -> void;

  WorkerPool& workers_;
  HttpClient& client_;
  MetricsRegistry& metrics_;
  const PublishedConfiguration& configuration_;
  NodeIdentity identity_;
  ShareSource share_;
  SystemClock clock_;
  std::shared_ptr<WorkerPool::Timer> timer_;

  mutable std::mutex mutex_;
  Random random_;
  TargetPool pool_;
  AdmissionQueue queue_;
  RateLimiter limiter_;
  DemandMeter demand_;
  std::vector<ServiceName> services_;
  std::unordered_map<std::uint64_t, Waiting> waiting_;
  std::uint64_t next_id_ = 1;
  std::optional<MonotonicTime> measured_;  ///< When a target last answered.
};

}  // namespace heatherspan
