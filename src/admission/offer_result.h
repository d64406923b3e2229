#pragma once

#include <cstdint>
#include <optional>

#include "base/refusal.h"

namespace heatherspan {

/// What became of an offered request, and of a waiting one that made room for it.
struct OfferResult {
  struct Displaced {
    std::uint64_t id = 0;
    Refusal refusal;
  };

  std::optional<Refusal> refusal;  ///< Set when the offered request is not queued.
  std::optional<Displaced> displaced;
};

}  // namespace heatherspan
