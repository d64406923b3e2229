#pragma once

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/quota_bucket.h"
#include "gateway/quota_exchange.h"
#include "gateway/quota_timing.h"
#include "gateway/team_quota_table.h"

namespace heatherspan {

/// Hands out tokens of the quotas that entry VMs have lent to this one. Load pattern: the requests
/// of a team come to few VMs, and to others the next moment, so that equal fractions of its quota
/// would refuse most of what the team is due. Two keepers at a time are safe, since each has only
/// what was lent to it.
class QuotaKeeper {
 public:
  static constexpr std::size_t kMaxLenders = 4096;

  QuotaKeeper(InstanceId instance, const TeamQuotaTable& quotas)
      : instance_(instance), quotas_(quotas) {}

  auto OnAsk(const QuotaAsk& ask, const QuotaTiming& timing, MonotonicTime now) -> QuotaAnswer;
  /// The quotas have changed.
  auto OnQuotasChanged(MonotonicTime now) -> void;
  /// Gives up all that was lent.
  auto Close() -> void;

  /// The sum of the fractions that are lent to this VM.
  auto fraction() const -> double { return fraction_; }
  auto lenders() const -> std::size_t { return loans_.size(); }

 private:
  struct Loan {
    double fraction = 0;
    MonotonicTime until;
  };

  auto Advance(MonotonicTime now) -> void;
  auto ClampAll(MonotonicTime now) -> void;
  auto Lend(const QuotaAsk& ask, const QuotaTiming& timing, MonotonicTime now) -> void;
  auto Grant(const QuotaAsk::Item& item, bool may_return, MonotonicTime now) -> QuotaAnswer::Item;

  InstanceId instance_;
  const TeamQuotaTable& quotas_;
  absl::flat_hash_map<NodeName, Loan> loans_;
  absl::flat_hash_map<TeamName, QuotaBucket> buckets_;
  double fraction_ = 0;
  double supply_ = 0;  ///< Fractions lent, times seconds.
  Duration token_life_{};
  MonotonicTime advanced_at_{};
};

}  // namespace heatherspan
