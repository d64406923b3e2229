#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/random.h"

namespace heatherspan {

/// The order in which members are probed. Each member is probed once per round. The order is
/// shuffled for each round. Every member is thus probed within a bounded time.
class ProbeOrder {
 public:
  /// Inserts a new member at a random position in the remainder of the round.
  auto Add(InstanceId instance, Random& random) -> void;

  /// Returns the next member. If the current round has ended, the next round consists of `live`.
  auto Next(const std::vector<InstanceId>& live, Random& random) -> std::optional<InstanceId>;
  auto AtEnd() const -> bool { return next_ >= round_.size(); }

 private:
  std::vector<InstanceId> round_;
  std::size_t next_ = 0;
};

}  // namespace heatherspan
