#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "base/time.h"
#include "base/units.h"
#include "caps/grantor_term.h"
#include "caps/share_grantor.h"
#include "caps/share_holder.h"
#include "daemon/configuration.h"
#include "daemon/node_identity.h"
#include "messages/datagram.h"
#include "platform/http_store.h"

namespace heatherspan {

class EventLog;

/// Manages this node's share of its region's cap. While this node is the region's grantor, it also
/// grants shares to other nodes. Thread-safe; `mutex_` is the caps lock in the lock order.
class ShareService {
 public:
  using Sender = std::function<void(const Endpoint& to, const Datagram& datagram)>;

  ShareService(NodeIdentity identity, Sender sender, EventLog& log);

  auto OnConfiguration(const std::shared_ptr<const Configuration>& configuration,
                       const std::vector<RankedVm>& zone_vms, MonotonicTime now) -> void;
  auto UsableShare(MonotonicTime now) const -> RequestsPerSecond;

  /// Requests a share from the region's grantor if a request is due.
  auto OnTick(RequestsPerSecond demand, MonotonicTime now) -> void;
  auto OnRequest(const Endpoint& from, const ShareRequest& request, MonotonicTime now) -> void;
  auto OnGrant(const ShareGrant& grant, MonotonicTime now) -> void;

  /// Acquires or renews the role of the grantor if this node is the region's candidate. Blocks on
  /// the store, so only control workers may call it.
  auto RunGrantorStep(HttpStore& store, const EnvironmentName& environment) -> void;
  /// Gives up the role of the grantor. Called when this node leaves.
  auto GiveUpRole() -> void;
  auto is_grantor(MonotonicTime now) const -> bool;

 private:
  auto GrantorCandidate() const -> std::optional<LiveNode>;
  auto AcquireRole(HttpStore& store, const std::string& key) -> void;
  auto RenewRole(HttpStore& store, StoreLeaseId lease) -> void;

  NodeIdentity identity_;
  Sender sender_;
  EventLog& log_;
  SystemClock clock_;

  mutable std::mutex mutex_;
  std::shared_ptr<const Configuration> configuration_;
  RegionName region_;
  bool role_given_up_ = false;
  GrantorTerm term_;
  std::optional<ShareHolder> holder_;
  std::optional<ShareGrantor> grantor_;
};

}  // namespace heatherspan
