#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "edge/edge_settings.h"
#include "gateway/gateway_core.h"
#include "gateway/store_read_timing.h"
#include "gateway/traffic_policy.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/memory_account.h"

namespace heatherspan {

/// The limits of the parts of an entry VM's process, as its settings and the configuration give
/// them.
class EdgeLimits {
 public:
  /// After this time without a TCP acknowledgement, the machine counts as lost. The time allows two
  /// retransmissions.
  static constexpr Duration kUnacknowledgedTimeout = std::chrono::milliseconds(1500);
  /// TCP retransmits a lost connection request only after 1 s; an attempt at another target is
  /// faster.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
  /// The store's answer to a watch has each version of an item that was written several times, a
  /// listing only the last one: a longer answer is left for a listing. There is room for an item of
  /// the largest size.
  static constexpr std::size_t kMaxChangesBytes = std::size_t{3} * 512 * 1024;
  static constexpr std::size_t kConnectionsPerTarget = 40;
  /// A few peers ask for changes all the time; after a restart of many VMs, others want a listing,
  /// and many peers search for changes when the store is out of reach of some VMs.
  static constexpr std::size_t kMaxPeerConnections = 256;
  /// Room for what other entry VMs add to a caller's header, and for the news in their questions.
  static constexpr std::size_t kPeerHeaderBytes = std::size_t{16} * 1024;
  /// Connections of a search are not kept longer; those of regular questions are in use all the
  /// time.
  static constexpr Duration kPeerIdleTimeout = std::chrono::seconds(5);
  /// Each request in flight also needs one connection to a target, but some caller connections are
  /// idle. The store, peers and the other listeners need a few sockets.
  static constexpr double kCallerFractionOfSockets = 2.0 / 3;
  /// The other listeners' parts. With the callers' they leave an eighth for targets and the store
  /// even when all listeners are full.
  static constexpr double kPeerFractionOfSockets = 1.0 / 8;
  static constexpr double kDirectoryFractionOfSockets = 1.0 / 16;
  static constexpr double kQueryFractionOfSockets = 1.0 / 128;
  /// A listener with a small part still serves a few at a time.
  static constexpr std::size_t kMinConnections = 8;
  /// Queries to the listeners for the directory, readiness and metrics need no body.
  static constexpr std::size_t kMaxQueryBodyBytes = std::size_t{16} * 1024;
  /// Callers send a few requests ahead. Each may hold a body of the largest size that is allowed.
  static constexpr std::size_t kMaxPipelinedRequests = 8;

  static auto Retries(const EdgeSettings::Bounds& bounds) -> ServiceRetryBudget::Limits;
  /// The time within which all entry VMs have to know of a change in the store.
  static auto ChangeBound(const EdgeSettings::Bounds& bounds) -> Duration;
  static auto ReadTiming(const EdgeSettings::Bounds& bounds) -> StoreReadTiming;
  static auto Spillover(const EdgeSettings::Bounds& bounds) -> SpilloverLimiter::Limits;
  static auto Core(const EdgeSettings& settings) -> GatewayCore::Options;
  /// The account of all that the process holds for others.
  static auto Memory(const EdgeSettings& settings) -> std::shared_ptr<MemoryAccount>;
  static auto TargetClient(std::string correlation_header) -> HttpClient::Limits;
  static auto StoreClient() -> HttpClient::Limits;
  static auto StoreWatchClient() -> HttpClient::Limits;
  /// `configured`: empty as long as no configuration is known.
  static auto CallerServer(int descriptors, const std::optional<CallerLimits>& configured)
      -> HttpServer::Limits;
  static auto RelayClient(std::string correlation_header) -> HttpClient::Limits;
  static auto DirectoryServer(int descriptors) -> HttpServer::Limits;
  /// For readiness and metrics.
  static auto QueryServer(int descriptors) -> HttpServer::Limits;
  /// The server also takes callers' requests that other entry VMs pass on.
  static auto PeerServer(int descriptors, const CallerLimits& callers) -> HttpServer::Limits;
};

}  // namespace heatherspan
