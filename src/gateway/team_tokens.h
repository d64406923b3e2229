#pragma once

#include "base/time.h"

namespace heatherspan {

/// The tokens of one team that an entry VM has got from the keeper, and the demand that they meet.
/// All of them end at one time, unless the keeper renews them.
class TeamTokens {
 public:
  /// A request has come.
  auto OnRequest() -> void { ++requests_; }
  /// A request has been refused. Returns when to come back: as many can be served before it as were
  /// refused before it.
  auto OnRefused(Duration least, MonotonicTime now) -> Duration;

  auto Count(MonotonicTime now) const -> int { return usable_until_ > now ? count_ : 0; }
  auto usable_until() const -> MonotonicTime { return usable_until_; }
  /// Takes one token. Returns false if there is none.
  auto Take(MonotonicTime now) -> bool;
  /// The request with a token that was usable until then has not run.
  auto GiveBack(MonotonicTime usable_until) -> void;
  /// The keeper has granted tokens, and has renewed those that were here or has not.
  auto OnGranted(int granted, bool renewed, MonotonicTime usable_until, MonotonicTime now) -> void;
  /// Takes the tokens that are more than needed, for return.
  auto TakeSpare(int needed, MonotonicTime now) -> int;

  /// Counts what has happened since the last call.
  auto UpdateRates(MonotonicTime now) -> void;
  /// The tokens for the requests that are expected until the given time has passed.
  auto Expected(Duration time) const -> int;
  /// Nothing has been asked for a while.
  auto IsIdle(MonotonicTime now) const -> bool;

 private:
  int count_ = 0;
  int given_back_ = 0;  ///< Tokens of another end, only for return.
  MonotonicTime usable_until_{};
  int requests_ = 0;
  int granted_ = 0;
  double request_rate_ = 0;
  double grant_rate_ = 0;
  MonotonicTime updated_at_{};
  MonotonicTime next_return_{};  ///< When the next refused request may come back.
};

}  // namespace heatherspan
