#pragma once

#include <memory>

#include "base/endpoint.h"
#include "base/time.h"

namespace heatherspan {

class WorkerPool;

/// Forwards TCP connections between two loopback endpoints and harms them on request. Thread-safe;
/// changes take effect on the worker, soon after the call.
class FaultProxy {
 public:
  /// What a spoiled target does to its responses.
  enum class Spoil {
    kNone,
    kTruncate,  ///< Ends the connection in the middle of a response.
    kExtra,     ///< Adds a whole response that nobody asked for.
  };

  struct Behaviour {
    bool forward_to_server = true;  ///< Else bytes wait until it is true again.
    bool forward_to_client = true;
    bool refuse = false;  ///< Resets new connections.
    Duration delay = Duration::zero();
    Spoil spoil = Spoil::kNone;
  };

  FaultProxy(WorkerPool& workers, const Endpoint& listen, Endpoint server);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  auto operator=(const FaultProxy&) -> FaultProxy& = delete;

  auto SetBehaviour(const Behaviour& behaviour) -> void;
  /// Where connections lead that begin from now on.
  auto SetServer(const Endpoint& server) -> void;
  auto ResetConnections() -> void;
  /// The connections open now carry nothing more; new ones work.
  auto SilenceConnections() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
