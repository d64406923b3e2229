#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
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
struct HttpRequest;

/// Runs requests at the targets that this node owns, as their executing node. It applies the cap
/// share, acquires a slot or queues the request, and makes one HTTP exchange for each request.
/// Thread-safe; `mutex_` is the admission lock in the lock order.
class Executor {
 public:
  Executor(WorkerPool& workers, HttpClient& client, MetricsRegistry& metrics,
           const PublishedConfiguration& configuration, NodeIdentity identity, ShareSource share,
           std::uint64_t seed);
  ~Executor();
  Executor(const Executor&) = delete;
  auto operator=(const Executor&) -> Executor& = delete;

  /// Starts the timer that refuses queued requests after their deadline, dispatches the others and
  /// probes idle targets.
  auto Start() -> void;

  /// Runs or refuses the request. Calls the callback exactly once.
  auto Execute(RoutedRequest request, ForwardCallback callback) -> void;

  /// Replaces the targets that this node owns.
  auto Configure(const std::vector<OwnedTargets>& services) -> void;
  auto SetDraining(const TargetName& target, bool draining) -> void;

  /// The arrival rate of requests, which the request for a leased share contains.
  auto Demand(MonotonicTime now) const -> RequestsPerSecond;
  auto Load(MonotonicTime now) const -> NodeLoad;
  /// Seconds since a target last answered a request or a probe; -1 before the first answer.
  auto LastAnswerAgeSeconds(MonotonicTime now) const -> double;
  /// The number of requests that are queued or in flight to a target.
  auto active_requests() const -> std::size_t;

 private:
  struct QueuedRequest {
    RoutedRequest request;
    ForwardCallback callback;
  };
  /// Calls to make after the lock is released.
  struct DeferredCalls {
    std::vector<std::function<void()>> calls;
    auto Run() -> void;
  };

  auto Admit(RoutedRequest& request, ForwardCallback& callback, RequestsPerSecond share,
             DeferredCalls& deferred) -> void;
  auto Enqueue(RoutedRequest request, ForwardCallback callback, const Service& service,
               const Team* team, MonotonicTime now, DeferredCalls& deferred) -> void;
  auto Dispatch(TargetSlot slot, RoutedRequest request, ForwardCallback callback,
                DeferredCalls& deferred) -> void;
  auto OnExchangeEnd(const TargetSlot& slot, const ForwardCallback& callback, MonotonicTime sent,
                     HttpResult result) -> void;
  auto DispatchQueued(MonotonicTime now, DeferredCalls& deferred) -> void;
  auto OnTick() -> void;
  /// A request of this node's own, with an id so that it can use a kept connection.
  auto OwnRequest(std::string path) -> HttpRequest;
  auto Probe(const std::shared_ptr<const Target>& target) -> void;
  auto FetchLoadReport(const std::shared_ptr<const Target>& target) -> void;
  auto LoadLocked(MonotonicTime now) const -> NodeLoad;
  auto Refuse(const ForwardCallback& callback, const Refusal& refusal, MonotonicTime now,
              DeferredCalls& deferred) -> void;

  WorkerPool& workers_;
  HttpClient& client_;
  MetricsRegistry& metrics_;
  const PublishedConfiguration& configuration_;
  NodeIdentity identity_;
  ShareSource share_source_;
  SystemClock clock_;
  std::shared_ptr<WorkerPool::Timer> timer_;

  mutable std::mutex mutex_;
  Random random_;
  TargetPool pool_;
  std::atomic<std::uint64_t> own_requests_{0};
  AdmissionQueue queue_;
  RateLimiter limiter_;
  DemandMeter demand_;
  std::vector<ServiceName> services_;
  std::unordered_map<std::uint64_t, QueuedRequest> queued_requests_;
  std::uint64_t next_queue_id_ = 1;
  std::optional<MonotonicTime> last_answer_time_;  ///< Of a target, to a request or a probe.
};

}  // namespace heatherspan
