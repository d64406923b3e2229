#pragma once

#include <chrono>

#include "base/time.h"

namespace heatherspan {

/// The lifetime of a leased share.
inline constexpr Duration kShareLifetime = std::chrono::seconds(4);
/// Holders reject grants with a longer lifetime, because grantors do not account for it.
inline constexpr Duration kMaxShareLifetime = kShareLifetime;

/// The time during which nodes may apply different versions of the document. It is the sum of 9 s
/// until a version is in force everywhere, 5.2 s for the pause of a grantor that resumes within its
/// term, and 3.6 s until the last grant of this grantor has expired at its holder. With 5% clock
/// drift the sum is 18.7 s, rounded up to 20 s.
inline constexpr Duration kVersionOverlap = std::chrono::seconds(20);

/// A version of at least this age is considered in force everywhere. Includes 15 s for differences
/// between wall clocks.
inline constexpr Duration kSettledAge = kVersionOverlap + std::chrono::seconds(15);

/// The time for which the holder uses a lease, counted from the sending of its request: the
/// lifetime minus 10% and 200 ms.
auto HolderLifetime(Duration lifetime) -> Duration;

/// The time for which the grantor must assume that the lease is in use, counted from the sending of
/// the grant: the lifetime plus 10% and 200 ms.
auto GrantorLifetime(Duration lifetime) -> Duration;

}  // namespace heatherspan
