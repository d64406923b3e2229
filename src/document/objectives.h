#pragma once

namespace heatherspan {

/// The weights of the two goals of steering.
struct Objectives {
  double latency_weight = 0.5;
  double headroom_weight = 0.5;

  friend auto operator==(const Objectives&, const Objectives&) -> bool = default;
};

}  // namespace heatherspan
