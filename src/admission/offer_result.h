#pragma once

#include <cstdint>
#include <optional>

#include "base/refusal.h"

namespace heatherspan {

/// The result of offering a request to the admission queue.
struct OfferResult {
  /// A waiting request that was removed to make room for the offered request.
  struct Displaced {
    std::uint64_t id = 0;
    Refusal refusal;
  };

  std::optional<Refusal> refusal;  ///< Set when the offered request is refused.
  std::optional<Displaced> displaced;
};

}  // namespace heatherspan
