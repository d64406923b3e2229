#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "messages/datagram.h"

namespace heatherspan {

class WorkerPool;

/// Sends and receives authenticated datagrams between entry VMs. Datagrams that are too long, fail
/// authentication or can't be decoded are dropped and counted.
class UdpSocket {
 public:
  using Handler = std::function<void(InstanceId sender, const Endpoint& from, Datagram datagram)>;

  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t rejected = 0;
  };

  UdpSocket(WorkerPool& workers, InstanceId self, std::string key, Handler handler);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  auto operator=(const UdpSocket&) -> UdpSocket& = delete;

  /// Port 0 takes a free port; the result names the port taken.
  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;
  auto Send(const Endpoint& to, const Datagram& datagram) -> void;
  auto Stop() -> void;
  auto counters() const -> Counters;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
