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

/// The share of a region's cap that this node may use: a base share that needs no coordination, and
/// a leased share from the region's grantor.
///
/// Not thread-safe.
class ShareHolder {
 public:
  ShareHolder(RankedVm self, RegionName region);

  /// Puts the cap of a version of the document into force; for the age see CapHistory::Apply.
  auto Configure(const CapConfig& config, Duration age, MonotonicTime now) -> void;

  /// The view of the own zone; see BaseShareRank::OnZoneVms.
  auto OnZoneVms(const std::vector<RankedVm>& vms, int entry_vms_max, MonotonicTime now) -> void;

  /// The request to send to the grantor, if one is due: once a second while the demand exceeds the
  /// base share, and while a lease runs. The demand is what the node expects to admit in all.
  auto MaybeRequest(MonotonicTime now, RequestsPerSecond demand) -> std::optional<ShareRequest>;

  /// Accepts a grant that answers a recent request of this node and is not older than the one held.
  /// Returns whether it was accepted.
  auto OnGrant(const ShareGrant& grant, MonotonicTime now) -> bool;

  /// The rate that may be admitted now. To be asked at each admission, so that a node that was
  /// paused finds its lease ended.
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
