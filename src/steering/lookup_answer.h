#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "base/reason.h"
#include "base/time.h"
#include "steering/live_node.h"

namespace heatherspan {

/// The entry VMs for a caller, in order of preference. The steering view owns the nodes; the
/// pointers are valid only as long as the view exists.
struct LookupAnswer {
  /// Limits the size of an answer independently of the number of nodes.
  static constexpr std::size_t kMaxNodes = 8;

  Reason reason = Reason::kNone;  ///< kUnknownService, kNoZone (no usable node) or kNone.
  std::array<const LiveNode*, kMaxNodes> nodes{};
  std::size_t count = 0;
  Duration lifetime{};

  auto Nodes() const& -> std::span<const LiveNode* const> { return {nodes.data(), count}; }
  /// Deleted for temporaries, since the span would outlive the answer.
  auto Nodes() && -> std::span<const LiveNode* const> = delete;
};

}  // namespace heatherspan
