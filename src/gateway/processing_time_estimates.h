#pragma once

#include <cstdint>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/route.h"

namespace heatherspan {

/// Processing time of a request of one route and service at a target of usual speed.
struct ProcessingTimeEstimate {
  Duration cached{};    ///< The target has handled the request's object recently.
  Duration uncached{};  ///< The target has not handled the object recently.
};

/// Learns processing times from responses. The estimates follow the median, so that a slow target
/// or a few failures among many responses hardly change them.
class ProcessingTimeEstimates {
 public:
  /// Returns the estimate. Before the first sample of a kind, its value is derived from the route's
  /// objective.
  auto Estimate(const Route& route, const ServiceName& service) const -> ProcessingTimeEstimate;
  auto Learn(const Route& route, const ServiceName& service, bool cached, Duration processing_time)
      -> void;

 private:
  struct Median {
    Duration value{};
    std::uint32_t samples = 0;
    auto Add(Duration sample) -> void;
  };
  struct Entry {
    Median cached;
    Median uncached;
  };

  absl::flat_hash_map<std::pair<RouteName, ServiceName>, Entry> entries_;
};

}  // namespace heatherspan
