#pragma once

#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// How long leased shares are granted for.
inline constexpr Duration kShareLifetime = std::chrono::seconds(4);
/// Holders refuse grants with a longer lifetime, which no grantor accounts for.
inline constexpr Duration kMaxShareLifetime = kShareLifetime;

/// How long nodes may apply different versions of the document: 9 s until a version is in force
/// everywhere, 5.2 s of a grantor's pause that doesn't outlast its term, and 3.6 s until its last
/// grant has ended at the holder; with 5% of clock drift 18.7 s, rounded up.
inline constexpr Duration kVersionOverlap = std::chrono::seconds(20);

/// From this age on a version is taken to be in force everywhere. Contains 15 s for wall clocks
/// that differ.
inline constexpr Duration kSettledAge = kVersionOverlap + std::chrono::seconds(15);

/// The part of a lease that its holder uses, counted from the sending of the request: the lifetime
/// less 10% and 200 ms.
auto HolderLifetime(Duration lifetime) -> Duration;

/// The time for which the side that grants has to expect that the lease is used, counted from the
/// sending of the grant: the lifetime plus 10% and 200 ms.
auto GrantorLifetime(Duration lifetime) -> Duration;

}  // namespace heatherspan
