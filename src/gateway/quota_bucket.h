#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "gateway/team_quota_budget.h"

namespace heatherspan {

/// The part of a team's token bucket that one entry VM manages. Tokens that have been handed out
/// lately may still be unused: they count against the depth, so that the tokens used in a window
/// don't depend on when they were handed out.
class QuotaBucket {
 public:
  static constexpr Duration kMaxTokenLife = std::chrono::milliseconds(1400);

  /// `fraction`: of the team's budget, at present. `supply`: the sum over all time of the fraction
  /// and the seconds for which it was held. `token_life`: how long tokens may be used.
  auto Advance(const TeamQuotaBudget& budget, double fraction, double supply, Duration token_life,
               MonotonicTime now) -> void;
  /// Takes up to so many tokens. Returns how many it has taken.
  auto Take(int wanted) -> int;
  /// Takes back tokens that were handed out within their lifetime and will not be used.
  auto Credit(int returned) -> void;
  /// Counts tokens as handed out now, if they were handed out within their lifetime. Returns
  /// whether they were.
  auto Renew(int count) -> bool;

  auto level() const -> double { return level_; }

 private:
  static constexpr Duration kSlot = std::chrono::milliseconds(100);
  static constexpr std::size_t kSlots = 16;

  static auto SlotCount(Duration token_life) -> std::int64_t;
  /// Forgets that tokens were handed out lately, the latest first. Returns how many.
  auto Forget(int count) -> float;
  auto Recent(Duration token_life) const -> double;

  double level_ = 0;
  double limit_ = 0;  ///< The depth, at the last advance.
  double seen_supply_ = 0;
  Duration token_life_{};
  std::int64_t slot_ = 0;
  std::array<float, kSlots> granted_{};  ///< In each slot of time, by its number.
};

}  // namespace heatherspan
