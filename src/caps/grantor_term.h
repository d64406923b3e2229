#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "config/store_lease_id.h"

namespace heatherspan {

/// The term of a region's grantor, which is a store lease on the key of the grantor role. The
/// caller makes the store calls and reports the time at which each was sent. The store may start to
/// count the lease at any later time. The term therefore starts when the call was sent, by the
/// local clock, and is shorter than the lease by the margin of HolderLifetime().
class GrantorTerm {
 public:
  enum class Step { kNone, kAcquire, kRenew };

  /// The lifetime of the store lease.
  static constexpr Duration kTtl = std::chrono::seconds(6);
  static constexpr Duration kRenewInterval = std::chrono::seconds(2);
  static constexpr Duration kRetryInterval = std::chrono::seconds(3);

  /// The store operation that is due now. kAcquire means: request a store lease of kTtl, then write
  /// the key with this lease if the key is absent. kRenew means: renew lease_id(). After each
  /// operation the caller must call one of the On methods. Only a few nodes of a region should
  /// compete for the role, because each of them calls the store every kRetryInterval.
  auto NextStep(MonotonicTime now) const -> Step;

  /// The key of the role was written with the lease. `sent` is the time of the lease request.
  auto OnAcquired(StoreLeaseId lease_id, MonotonicTime sent) -> void;

  /// Another node holds the role, or the store was unreachable.
  auto OnNotAcquired(MonotonicTime now) -> void;

  /// The lease was renewed by a call that was sent at the given time.
  auto OnRenewed(MonotonicTime sent) -> void;

  /// The renewal failed. If the store reports that the lease has expired, the term ends at once.
  /// Otherwise the term lasts until its end time, and further renewals are due before it.
  auto OnRenewFailed(bool lease_ended, MonotonicTime now) -> void;

  /// Gives up the role.
  auto End() -> void;

  /// Whether this node has the role now. Must be checked before each grant.
  auto Holds(MonotonicTime now) const -> bool;

  /// The number of acquisitions so far. A grantor detects from a change that another term has
  /// begun.
  auto number() const -> std::uint64_t { return term_number_; }
  auto lease_id() const -> std::optional<StoreLeaseId> { return lease_id_; }

 private:
  std::optional<StoreLeaseId> lease_id_;
  std::uint64_t term_number_ = 0;
  MonotonicTime end_time_;
  MonotonicTime next_store_call_;
};

}  // namespace heatherspan
