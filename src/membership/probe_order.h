#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/random.h"

namespace heatherspan {

/// The order in which members are probed: each once in a round, in a random order that is drawn
/// anew for each round, so that every member is reached within a bounded time.
class ProbeOrder {
 public:
  /// Puts a new member at a random place in the rest of the round.
  auto Add(InstanceId instance, Random& random) -> void;

  /// The next member; `live` is the content of the next round if this one has ended.
  auto Next(const std::vector<InstanceId>& live, Random& random) -> std::optional<InstanceId>;
  auto AtEnd() const -> bool { return next_ >= round_.size(); }

 private:
  std::vector<InstanceId> round_;
  std::size_t next_ = 0;
};

}  // namespace heatherspan
