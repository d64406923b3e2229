#pragma once

#include <optional>

#include "base/time.h"
#include "base/units.h"

namespace heatherspan {

/// The limit that a target names for the requests of all entry VMs together, and the share of it
/// that this node may use. Load pattern: a target in need takes fewer requests per second than
/// there are entry VMs, so that a share is often less than one request in some seconds.
class TargetLimit {
 public:
  /// Records what the target says. Returns whether it differs from what it said before. A node has
  /// no share of a new limit until one is set, and nothing saved up.
  auto SetLimit(std::optional<RequestsPerSecond> limit, MonotonicTime now) -> bool;
  auto SetShare(RequestsPerSecond share, MonotonicTime now) -> void;

  auto limit() const -> std::optional<RequestsPerSecond> { return limit_; }
  auto share() const -> RequestsPerSecond { return share_; }
  /// Whether one more request may be sent.
  auto MaySend(MonotonicTime now) const -> bool;
  /// Returns the time until one more request may be sent; zero if it may be sent now, the largest
  /// duration if the node has no share.
  auto Wait(MonotonicTime now) const -> Duration;
  auto OnSent(MonotonicTime now) -> void;

 private:
  /// Returns the requests that may be sent now.
  auto Saved(MonotonicTime now) const -> double;

  std::optional<RequestsPerSecond> limit_;
  RequestsPerSecond share_;
  double saved_ = 0;  ///< Requests that could be sent at `saved_at_`.
  MonotonicTime saved_at_{};
};

}  // namespace heatherspan
