#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/worker_pool.h"

namespace heatherspan {

/// A target whose behaviour a test sets, and which records the requests it receives. Thread-safe.
class TargetStub {
 public:
  using Behaviour = std::function<void(const HttpRequest&, const HttpServer::Responder&)>;

  explicit TargetStub(std::string name,
                      const HttpServer::Limits& limits = {.watch_disconnects = true});
  ~TargetStub() { workers_.Stop(); }

  /// The registration of a target at the address, as stored.
  static auto RegistrationAt(const Endpoint& endpoint, const std::string& state = "ready")
      -> std::string;
  /// The registration of the target, as stored.
  auto Registration(const std::string& state = "ready") const -> std::string;
  auto name() const -> const std::string& { return name_; }
  auto SetBehaviour(Behaviour behaviour) -> void;
  /// Keeps a request without an answer.
  auto Hold(const HttpServer::Responder& respond) -> void;
  auto Requests() const -> std::vector<HttpRequest>;
  /// The number of requests whose connection was closed before their response.
  auto Disconnects() const -> int;
  auto Close() -> void { server_.Stop(); }

 private:
  auto Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void;

  const std::string name_;
  mutable std::mutex mutex_;
  std::vector<HttpRequest> requests_;
  Behaviour behaviour_;
  int disconnects_ = 0;
  WorkerPool workers_{1};
  HttpServer server_;
  Endpoint endpoint_;
  std::vector<HttpServer::Responder> held_;  ///< Must not outlive the server.
};

}  // namespace heatherspan
