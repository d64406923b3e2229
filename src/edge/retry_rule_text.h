#pragma once

#include <string_view>

#include "gateway/route.h"

namespace heatherspan {

inline auto RetryRuleText(RetryRule rule) -> std::string_view {
  return rule == RetryRule::kIdempotent ? "idempotent" : "at-most-once";
}

}  // namespace heatherspan
