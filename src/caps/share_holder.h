#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "caps/base_share_rank.h"
#include "caps/cap_config.h"
#include "caps/cap_history.h"
#include "messages/share_grant.h"
#include "messages/share_request.h"

namespace heatherspan {

/// The share of a region's cap that this node may use. It consists of a base share, which needs no
/// coordination, and a share leased from the region's grantor.
///
/// Not thread-safe.
class ShareHolder {
 public:
  ShareHolder(RankedVm self, RegionName region);

  /// Puts the cap of one document version into force. See CapHistory::Apply for the age.
  auto Configure(const CapConfig& config, Duration age, MonotonicTime now) -> void;

  /// Takes the view of this node's zone. See BaseShareRank::OnZoneVms.
  auto OnZoneVms(const std::vector<RankedVm>& vms, int entry_vms_max, MonotonicTime now) -> void;

  /// The request to send to the grantor, if one is due. Requests are due once a second while the
  /// demand exceeds the base share or a lease is in use. The demand is the total rate that the node
  /// expects to admit.
  auto MaybeRequest(MonotonicTime now, RequestsPerSecond demand) -> std::optional<ShareRequest>;

  /// Accepts a grant that answers a recent request of this node and is newer than the current
  /// lease. Returns whether the grant was accepted.
  auto OnGrant(const ShareGrant& grant, MonotonicTime now) -> bool;

  /// The rate that may be admitted now. Must be called at each admission, so that a node detects
  /// after a pause that its lease has expired.
  auto UsableShare(MonotonicTime now) const -> RequestsPerSecond;

 private:
  struct SentRequest {
    std::uint64_t sequence = 0;
    MonotonicTime sent_time;
  };
  struct Lease {
    std::uint64_t sequence = 0;
    RequestsPerSecond share = RequestsPerSecond(0);
    MonotonicTime end_time;
  };

  auto BaseShare(MonotonicTime now) const -> RequestsPerSecond;

  InstanceId self_;
  RegionName region_;
  BaseShareRank rank_;
  CapHistory history_;
  std::uint64_t last_sequence_ = 0;
  std::deque<SentRequest> sent_requests_;
  std::optional<Lease> lease_;
};

}  // namespace heatherspan
