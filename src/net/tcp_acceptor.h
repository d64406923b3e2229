#pragma once

#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "base/endpoint.h"

namespace heatherspan {

class WorkerPool;

/// A connection that was accepted; its receiver has to close it.
struct AcceptedSocket {
  int descriptor = -1;
  bool is_v6 = false;
  Endpoint remote;
};

/// Accepts TCP connections until it is stopped.
class TcpAcceptor {
 public:
  using Handler = std::function<void(AcceptedSocket)>;

  TcpAcceptor(WorkerPool& workers, Handler handler);
  ~TcpAcceptor();
  TcpAcceptor(const TcpAcceptor&) = delete;
  auto operator=(const TcpAcceptor&) -> TcpAcceptor& = delete;

  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;
  auto Stop() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
