#pragma once

#include <memory>

#include "base/time.h"
#include "daemon/attempt_plan.h"
#include "daemon/node_identity.h"
#include "daemon/published_configuration.h"
#include "daemon/routed_request.h"
#include "daemon/steering_state.h"
#include "net/worker_pool.h"

namespace heatherspan {

class EventLog;
class Executor;
class MetricsRegistry;
class PeerClient;

/// Sends the requests that this receiving entry VM receives to an availability zone, and retries
/// them in other zones if a retry is allowed. Thread-safe.
class RequestRouter {
 public:
  RequestRouter(WorkerPool& workers, PeerClient& peers, Executor& executor, SteeringState& steering,
                const PublishedConfiguration& configuration, MetricsRegistry& metrics,
                EventLog& log, NodeIdentity identity);

  /// Calls the callback exactly once.
  auto Route(RoutedRequest request, ForwardCallback callback) -> void;

 private:
  class PendingRequest;

  auto StartAttempt(const std::shared_ptr<PendingRequest>& pending) -> void;
  auto SendAttempt(const std::shared_ptr<PendingRequest>& pending, const AttemptPlan& plan) -> void;
  auto OnAttemptEnd(const std::shared_ptr<PendingRequest>& pending, const AttemptPlan& plan,
                    MonotonicTime started, ForwardResponse response) -> void;
  auto RetryOrFinish(const std::shared_ptr<PendingRequest>& pending, ForwardResponse response)
      -> void;

  WorkerPool& workers_;
  PeerClient& peers_;
  Executor& executor_;
  SteeringState& steering_;
  const PublishedConfiguration& configuration_;
  MetricsRegistry& metrics_;
  EventLog& log_;
  NodeIdentity identity_;
  SystemClock clock_;
};

}  // namespace heatherspan
