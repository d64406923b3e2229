#include "edge/edge_limits.h"

#include <algorithm>
#include <utility>

#include "base/process_memory.h"

namespace heatherspan {
namespace {

auto ConnectionsOf(int descriptors, double fraction) -> std::size_t {
  const auto sockets = descriptors - EdgeSettings::kReservedDescriptors;
  return std::max(EdgeLimits::kMinConnections, static_cast<std::size_t>(sockets * fraction));
}

}  // namespace

auto EdgeLimits::Retries(const EdgeSettings::Bounds& bounds) -> ServiceRetryBudget::Limits {
  return {bounds.retry_window, bounds.retry_ratio, bounds.retry_allowance};
}

auto EdgeLimits::ChangeBound(const EdgeSettings::Bounds& bounds) -> Duration {
  return std::min(bounds.drain, bounds.apply);
}

auto EdgeLimits::ReadTiming(const EdgeSettings::Bounds& bounds) -> StoreReadTiming {
  const auto timing = StoreReadTiming::For(ChangeBound(bounds));
  const bool is_bounded = bounds.revocation > Duration::zero();
  return is_bounded ? timing.ProvedWithin(bounds.revocation) : timing;
}

auto EdgeLimits::Spillover(const EdgeSettings::Bounds& bounds) -> SpilloverLimiter::Limits {
  SpilloverLimiter::Limits limits;
  limits.max_fraction_increase = bounds.max_shift;
  return limits;
}

auto EdgeLimits::Core(const EdgeSettings& settings) -> GatewayCore::Options {
  GatewayCore::Options options;
  options.node = settings.node;
  options.location.zone = settings.zone;
  options.location.region = settings.region;
  options.zones = settings.zones;
  options.heartbeat = settings.heartbeat;
  options.retries = Retries(settings.bounds);
  options.spillover = Spillover(settings.bounds);
  options.entry_vms.answer_lifetime = settings.bounds.answer_lifetime;
  return options;
}

auto EdgeLimits::Memory(const EdgeSettings& settings) -> std::shared_ptr<MemoryAccount> {
  constexpr std::size_t kMebibyte = std::size_t{1024} * 1024;
  const auto machine = settings.memory_mb > 0
                           ? static_cast<std::size_t>(settings.memory_mb) * kMebibyte
                           : MachineMemoryBytes();
  return std::make_shared<MemoryAccount>(MemoryAccount::BoundFor(machine));
}

auto EdgeLimits::TargetClient(std::string correlation_header) -> HttpClient::Limits {
  HttpClient::Limits limits;
  limits.max_connections_per_endpoint = kConnectionsPerTarget;
  limits.connect_timeout = kConnectTimeout;
  limits.unacknowledged_timeout = kUnacknowledgedTimeout;
  limits.accept_unframed_responses = true;
  limits.forward_host = true;
  limits.correlation_header = std::move(correlation_header);
  return limits;
}

auto EdgeLimits::StoreClient() -> HttpClient::Limits {
  HttpClient::Limits limits;
  limits.idle_timeout = kPeerIdleTimeout;
  limits.unacknowledged_timeout = kUnacknowledgedTimeout;
  return limits;
}

auto EdgeLimits::StoreWatchClient() -> HttpClient::Limits {
  auto limits = StoreClient();
  limits.max_response_bytes = kMaxChangesBytes;
  return limits;
}

auto EdgeLimits::CallerServer(int descriptors, const std::optional<CallerLimits>& configured)
    -> HttpServer::Limits {
  const auto callers = configured.value_or(CallerLimits());
  HttpServer::Limits limits;
  limits.provisional = !configured.has_value();
  limits.max_connections = static_cast<std::size_t>(
      (descriptors - EdgeSettings::kReservedDescriptors) * kCallerFractionOfSockets);
  limits.max_header_bytes = callers.header_bytes;
  limits.max_body_bytes = callers.body_bytes;
  limits.request_timeout = callers.header_timeout;
  limits.body_timeout = std::max(callers.header_timeout, callers.idle_timeout);
  limits.idle_timeout = callers.idle_timeout;
  limits.watch_disconnects = true;
  limits.max_pipelined = kMaxPipelinedRequests;
  return limits;
}

auto EdgeLimits::RelayClient(std::string correlation_header) -> HttpClient::Limits {
  auto limits = TargetClient(std::move(correlation_header));
  // Many requests for many targets go to the same few peers.
  limits.max_connections_per_endpoint = kMaxPeerConnections;
  limits.idle_timeout = kPeerIdleTimeout;
  // Our own servers frame all responses.
  limits.accept_unframed_responses = false;
  return limits;
}

auto EdgeLimits::DirectoryServer(int descriptors) -> HttpServer::Limits {
  auto limits = QueryServer(descriptors);
  limits.max_connections = ConnectionsOf(descriptors, kDirectoryFractionOfSockets);
  return limits;
}

auto EdgeLimits::QueryServer(int descriptors) -> HttpServer::Limits {
  HttpServer::Limits limits;
  limits.max_connections = ConnectionsOf(descriptors, kQueryFractionOfSockets);
  limits.max_body_bytes = kMaxQueryBodyBytes;
  return limits;
}

auto EdgeLimits::PeerServer(int descriptors, const CallerLimits& callers) -> HttpServer::Limits {
  HttpServer::Limits limits;
  limits.max_header_bytes = kPeerHeaderBytes + callers.header_bytes;
  limits.max_body_bytes = std::max(limits.max_body_bytes, callers.body_bytes);
  limits.watch_disconnects = true;
  limits.max_connections =
      std::min(kMaxPeerConnections, ConnectionsOf(descriptors, kPeerFractionOfSockets));
  limits.idle_timeout = 2 * kPeerIdleTimeout;
  return limits;
}

}  // namespace heatherspan
