#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "daemon/node_identity.h"
#include "daemon/routed_request.h"
#include "tickets/ticket_codec.h"
#include "tickets/ticket_table.h"

namespace heatherspan {

class PeerClient;
class PublishedConfiguration;
class RequestRouter;

/// Runs requests with tickets. If another node is the owner of a ticket, the request is forwarded
/// to the owner. Thread-safe; `mutex_` is the ticket lock in the lock order.
class TicketService {
 public:
  using StatusCallback = std::function<void(absl::StatusOr<TicketStatus>)>;

  TicketService(const std::string& key, const NodeIdentity& identity, TicketLimits limits,
                RequestRouter& router, PeerClient& peers,
                const PublishedConfiguration& configuration, std::uint64_t seed);

  auto Issue() -> std::string;

  /// Runs the request with the ticket at most once over all duplicates. Calls the callback exactly
  /// once.
  auto Run(const std::string& ticket, RoutedRequest request, ForwardCallback callback) -> void;

  /// Runs a request that a peer forwarded to this node as the owner of its ticket.
  auto RunAsOwner(const std::string& ticket, RoutedRequest request, ForwardCallback callback)
      -> void;

  /// Passes the status of a ticket's request to the callback. Requests the status from the owner if
  /// another node is the owner.
  auto Status(const std::string& ticket, StatusCallback callback) -> void;
  auto LocalStatus(const std::string& ticket) const -> absl::StatusOr<TicketStatus>;

  auto records() const -> std::size_t;

 private:
  auto RunOwned(const Ticket& ticket, RoutedRequest request, ForwardCallback callback) -> void;
  /// Adds the callback to those that wait for the response to a starting or running request.
  /// Returns true if no further action is needed. The caller must hold the lock.
  auto JoinWaiters(const Ticket& ticket, const TicketDecision& decision, ForwardCallback& callback)
      -> bool;
  auto ForwardToOwner(const std::string& ticket_text, const Ticket& ticket,
                      const RoutedRequest& request, ForwardCallback callback) -> void;
  auto OnRequestEnd(const Ticket& ticket, const ForwardResponse& response) -> void;

  TicketCodec codec_;
  InstanceId self_;
  RequestRouter& router_;
  PeerClient& peers_;
  const PublishedConfiguration& configuration_;
  SystemClock clock_;

  mutable std::mutex mutex_;
  Random random_;
  TicketTable table_;
  /// Callbacks that wait for the response to a running request, by the nonce of the ticket.
  std::map<std::uint64_t, std::vector<ForwardCallback>> waiters_;
};

}  // namespace heatherspan
