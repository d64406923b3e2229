#pragma once

#include <string>

#include "document/drain_scope.h"

namespace heatherspan {

/// A planned removal from service.
struct Drain {
  DrainScope scope = DrainScope::kTarget;
  std::string name;  ///< Of the target, entry VM, availability zone or region.
  std::string reason;

  friend auto operator==(const Drain&, const Drain&) -> bool = default;
};

}  // namespace heatherspan
