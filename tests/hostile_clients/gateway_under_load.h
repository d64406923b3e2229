#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "fleet_standins/kv_standin.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "soak/gateway_process.h"
#include "target_stub.h"

namespace heatherspan {

/// A gateway process on a machine with little memory, with a store and one target in this process.
class GatewayUnderLoad {
 public:
  struct Limits {
    std::size_t memory_mb = 0;  ///< Of the gateway's machine.
    std::size_t max_body_bytes = 0;
    int descriptors = 400;
    int target_slots = 3;
    /// Times beyond those of a test: a verdict must not depend on how fast the machine is.
    int header_timeout_s = 100;
    int idle_timeout_s = 100;
  };

  explicit GatewayUnderLoad(const Limits& limits);
  ~GatewayUnderLoad();
  GatewayUnderLoad(const GatewayUnderLoad&) = delete;
  auto operator=(const GatewayUnderLoad&) -> GatewayUnderLoad& = delete;

  /// Starts the process and waits until it is ready.
  auto Start() -> bool;
  auto callers() const -> Endpoint { return Own(kCallers); }
  auto readiness() const -> Endpoint { return Own(kReadiness); }
  auto directory() const -> Endpoint { return Own(kDirectory); }
  auto metrics() const -> Endpoint { return Own(kMetrics); }
  auto peers() const -> Endpoint { return Own(kPeers); }
  auto target() -> TargetStub& { return target_; }
  /// Sends one request and returns the status of the answer, 0 without one.
  auto Ask(const std::string& body) -> int;
  /// Sends one request without a body to any listener.
  auto AskAt(const Endpoint& listener, const std::string& target) -> int;
  /// Sends such requests until one is answered with 200. False if that takes so long that the
  /// process must hang.
  auto AskUntilAnswered(const Endpoint& listener, const std::string& target) -> bool;
  /// Sends requests until one is served, as a caller does who is told to come back. False if that
  /// takes so long that the process must hang.
  auto AskUntilServed() -> bool;
  auto is_alive() -> bool;
  /// The largest resident memory so far.
  auto PeakBytes() const -> std::size_t;
  auto OpenDescriptors() const -> std::size_t;
  /// The end of the process's log.
  auto LogTail() const -> std::string;

 private:
  enum Number { kCallers = 1, kReadiness, kDirectory, kMetrics, kPeers };

  static auto Own(Number number) -> Endpoint;
  auto WriteSettings() const -> void;
  auto Configuration() const -> std::string;

  const Limits limits_;
  const std::string folder_;
  KvStandin store_;
  TargetStub target_;
  WorkerPool workers_{1};
  HttpClient client_;
  GatewayProcess process_;
};

}  // namespace heatherspan
