#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace heatherspan {

/// Bounds the large answers that a VM gives to its peers by its link: a peer that it turns away
/// asks others, among which the state spreads faster than over one link.
class AnswerBudget {
 public:
  /// `link_bytes_per_second`: zero or less if it is not known: without a bound.
  explicit AnswerBudget(double link_bytes_per_second) : rate_(link_bytes_per_second) {}

  auto MayGive(MonotonicTime now) const -> bool {
    return rate_ <= 0 || DebtAt(now) <= kMaxDebtSeconds * rate_;
  }
  auto OnGiven(std::size_t bytes, MonotonicTime now) -> void {
    debt_ = DebtAt(now) + static_cast<double>(bytes);
    debt_at_ = now;
  }

 private:
  /// The link is for requests, too.
  static constexpr double kFraction = 0.8;
  static constexpr double kMaxDebtSeconds = 0.3;

  auto DebtAt(MonotonicTime now) const -> double {
    const auto paid = std::chrono::duration<double>(now - debt_at_).count() * kFraction * rate_;
    return std::max(0.0, debt_ - paid);
  }

  double rate_;
  double debt_ = 0;  ///< Bytes that the link has yet to carry.
  MonotonicTime debt_at_{};
};

}  // namespace heatherspan
