#pragma once

#include <array>

#include "base/time.h"

namespace heatherspan {

/// The tokens of one team that an entry VM has got from the keeper, and the demand that they meet.
class TeamTokens {
 public:
  /// A request has come.
  auto OnRequest() -> void { ++requests_; }
  /// A request has been refused. Returns when to come back: as many can be served before it as were
  /// refused before it.
  auto OnRefused(Duration least, MonotonicTime now) -> Duration;

  /// Takes one token. Returns until when it may be used, or a time that has passed if there is
  /// none.
  auto Take(MonotonicTime now) -> MonotonicTime;
  auto Put(MonotonicTime usable_until, int count) -> void;
  /// Takes the tokens for return that could not be used for so long, apart from those that are
  /// likely to be used before the keeper's next answer arrives.
  auto TakeSpare(Duration time, MonotonicTime now) -> int;
  auto Count(MonotonicTime now) const -> int;
  /// The keeper has answered.
  auto OnGranted(int granted) -> void { granted_ += granted; }
  /// Counts what has happened since the last call.
  auto UpdateRates(MonotonicTime now) -> void;
  /// The tokens for the requests that are expected until the given time has passed.
  auto Expected(Duration time) const -> int;
  /// Nothing has been asked for a while.
  auto IsIdle(MonotonicTime now) const -> bool;

 private:
  struct Batch {
    MonotonicTime usable_until;
    int count = 0;
  };

  std::array<Batch, 2> batches_{};  ///< The older one first.
  int requests_ = 0;
  int granted_ = 0;
  double request_rate_ = 0;
  double grant_rate_ = 0;
  MonotonicTime updated_at_{};
  MonotonicTime next_return_{};  ///< When the next refused request may come back.
};

}  // namespace heatherspan
