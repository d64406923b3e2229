#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "config/store_lease_id.h"

namespace heatherspan {

/// The term of a region's grantor: a lease of the store on the key of the role. The caller does the
/// store calls and reports the time at which each was sent; the term counts from there on the own
/// clock, less the margin, because the store may count from any later time.
class GrantorTerm {
 public:
  enum class Step { kNone, kAcquire, kRenew };

  /// The lifetime to ask the store for.
  static constexpr Duration kTtl = std::chrono::seconds(6);
  static constexpr Duration kRenewInterval = std::chrono::seconds(2);
  static constexpr Duration kRetryInterval = std::chrono::seconds(3);

  /// What to do at the store now. Only a few nodes per region should try to acquire the role,
  /// because each of them asks the store every kRetryInterval. The step is: nothing, acquire (grant
  /// a lease of kTtl, then write the key with it, provided that the key is absent), or renew
  /// lease_id(). After each step that the caller takes, one of the On methods must follow.
  auto NextStep(MonotonicTime now) const -> Step;

  /// The role's key was written with the lease. `sent` is when the lease was asked for.
  auto OnAcquired(StoreLeaseId lease_id, MonotonicTime sent) -> void;

  /// Another node holds the role, or the store was not reached.
  auto OnNotAcquired(MonotonicTime now) -> void;

  /// The lease was renewed by a call sent at the given time.
  auto OnRenewed(MonotonicTime sent) -> void;

  /// The renewal failed. If the store says that the lease has ended, the term ends at once;
  /// otherwise it runs on until its end and is renewed again.
  auto OnRenewFailed(bool lease_ended, MonotonicTime now) -> void;

  /// Gives up the role.
  auto End() -> void;

  /// Whether this node has the role now; checked before each grant.
  auto Holds(MonotonicTime now) const -> bool;

  /// Counts the acquisitions, so that a grantor notices that a term ended in between.
  auto number() const -> std::uint64_t { return term_number_; }
  auto lease_id() const -> std::optional<StoreLeaseId> { return lease_id_; }

 private:
  std::optional<StoreLeaseId> lease_id_;
  std::uint64_t term_number_ = 0;
  MonotonicTime end_time_;
  MonotonicTime next_store_call_;
};

}  // namespace heatherspan
