#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "standins/target_model.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace heatherspan {

/// Serves many targets over HTTP, each on an endpoint of its own, and one control port:
///
///   GET /control/executions     every request started, see ExecutionLog::ToJson
///   PUT /control/targets/NAME   changes the behaviour, see TargetModel::Change; "*" means all
///
/// It runs on the thread of the io_context.
class TargetHost {
 public:
  TargetHost(boost::asio::io_context& context, std::uint64_t seed);
  ~TargetHost();
  TargetHost(const TargetHost&) = delete;
  auto operator=(const TargetHost&) -> TargetHost& = delete;

  /// Port 0 takes a free port; the result names the port taken.
  auto Add(const std::string& name, const Endpoint& endpoint,
           const TargetModel::Behaviour& behaviour, std::size_t max_connections)
      -> absl::StatusOr<Endpoint>;
  auto ListenControl(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;

 private:
  class Served;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
