#pragma once

namespace heatherspan {

/// How the steering weighs its two goals.
struct Objectives {
  double latency_weight = 0.5;
  double headroom_weight = 0.5;

  friend auto operator==(const Objectives&, const Objectives&) -> bool = default;
};

}  // namespace heatherspan
