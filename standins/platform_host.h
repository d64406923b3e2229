#pragma once

#include <memory>

#include "absl/status/statusor.h"
#include "base/endpoint.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace heatherspan {

class PlatformStandin;

/// Serves a PlatformStandin over HTTP, with its control requests on a port of their own. It runs on
/// the thread of the io_context.
class PlatformHost {
 public:
  PlatformHost(boost::asio::io_context& context, PlatformStandin& standin);
  ~PlatformHost();
  PlatformHost(const PlatformHost&) = delete;
  auto operator=(const PlatformHost&) -> PlatformHost& = delete;

  /// Port 0 takes a free port; the result names the port taken.
  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;
  auto ListenControl(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
