#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "caps/cap_config.h"
#include "caps/cap_history.h"
#include "caps/grantor_term.h"
#include "messages/share_grant.h"
#include "messages/share_request.h"

namespace heatherspan {

/// Divides the leased part of a region's cap among its nodes by demand, with max-min fairness. The
/// sum of the shares that nodes may still use, including those of lost grants, stays within the
/// leased part.
///
/// Not thread-safe.
class ShareGrantor {
 public:
  /// The maximum number of recorded holders. Requests of further holders get no grant.
  static constexpr std::size_t kMaxHolders = 1024;

  /// The term must outlive the grantor.
  ShareGrantor(InstanceId self, RegionName region, const GrantorTerm& term);

  /// Puts the cap of one document version into force. See CapHistory::Apply for the age. Must be
  /// called on every node, with or without the role, so that a new grantor knows the recent
  /// changes.
  auto Configure(const CapConfig& config, Duration age, MonotonicTime now) -> void;

  /// Begins a term that was just acquired. No share is granted for one grant lifetime plus margin,
  /// until the grants of the previous grantor have expired.
  auto BeginTerm(MonotonicTime now) -> void;

  /// Ends the term and removes the records of all holders.
  auto EndTerm() -> void;

  /// The grant for a request. There is no grant outside the term, while grants of the previous
  /// grantor may still be in use, or for a request that is not newer than the last request of its
  /// holder.
  auto OnRequest(const ShareRequest& request, MonotonicTime now) -> std::optional<ShareGrant>;

  /// The sum of the shares that nodes may still use.
  auto OutstandingShares(MonotonicTime now) const -> RequestsPerSecond;

 private:
  struct Grant {
    double share = 0;
    MonotonicTime expiry;  ///< From this time on, the holder no longer uses the grant.
  };
  struct Holder {
    std::uint64_t last_sequence = 0;
    double demand = 0;
    MonotonicTime last_request_time;
    /// Shares decrease from each grant to the next. A new grant replaces earlier grants that are
    /// not larger.
    std::vector<Grant> grants;
  };

  static auto RecordGrant(Holder& holder, const Grant& grant) -> void;
  auto RemoveExpired(MonotonicTime now) -> void;
  auto FairShare(const Holder& holder, MonotonicTime now) const -> double;
  static auto OutstandingShare(const Holder& holder, MonotonicTime now) -> double;

  InstanceId self_;
  RegionName region_;
  const GrantorTerm& term_;
  CapHistory history_;
  std::optional<std::uint64_t> term_number_;
  MonotonicTime first_grant_time_;
  std::map<InstanceId, Holder> holders_;
};

}  // namespace heatherspan
