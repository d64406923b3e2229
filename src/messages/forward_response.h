#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/reason.h"
#include "base/verdict.h"
#include "messages/header_field.h"
#include "messages/node_load.h"

namespace heatherspan {

/// The result of a forwarded request: a target's whole response, or a refusal with its verdict.
struct ForwardResponse {
  Verdict verdict = Verdict::kMayHaveRun;
  Reason reason = Reason::kNone;
  std::uint32_t retry_after_ms = 0;  ///< Zero means none.
  std::uint32_t status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  std::uint32_t target_time_us = 0;  ///< Time that the target took.
  NodeLoad load;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(verdict, reason, retry_after_ms, status, headers, body, target_time_us, load);
  }
};

}  // namespace heatherspan
