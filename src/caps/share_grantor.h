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

/// Divides the leased part of a region's cap among its nodes, by demand (max-min). The sum of what
/// any node may still use, lost grants included, stays within the leased part.
///
/// Not thread-safe.
class ShareGrantor {
 public:
  /// The most holders with a record; requests of further ones are refused.
  static constexpr std::size_t kMaxHolders = 1024;

  /// The term must outlive the grantor.
  ShareGrantor(InstanceId self, RegionName region, const GrantorTerm& term);

  /// Puts the cap of a version of the document into force; for the age see CapHistory::Apply. To be
  /// called on every node, whether or not it has the role, so that a new grantor knows of recent
  /// changes.
  auto Configure(const CapConfig& config, Duration age, MonotonicTime now) -> void;

  /// Begins to serve a term that was just acquired. No share is granted for one grant lifetime with
  /// margin, until the grants of the former grantor have lapsed.
  auto BeginTerm(MonotonicTime now) -> void;

  /// Ends the term and forgets all records.
  auto EndTerm() -> void;

  /// The grant for a request. None is given outside the term and during the learning period, and
  /// for requests that are not newer than the last one of their holder.
  auto OnRequest(const ShareRequest& request, MonotonicTime now) -> std::optional<ShareGrant>;

  /// The sum of the shares that nodes may still use.
  auto OutstandingShares(MonotonicTime now) const -> RequestsPerSecond;

 private:
  struct Grant {
    double share = 0;
    MonotonicTime expiry;  ///< When it has lapsed at the holder.
  };
  struct Holder {
    std::uint64_t last_sequence = 0;
    double demand = 0;
    MonotonicTime last_request_time;
    /// Each later grant is smaller than the one before; larger later ones replace earlier ones.
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
