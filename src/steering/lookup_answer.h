#pragma once

#include <array>
#include <cstddef>
#include <span>

#include "base/reason.h"
#include "base/time.h"
#include "steering/live_node.h"

namespace heatherspan {

/// The entry VMs for a caller, in the order in which it should try them. The nodes belong to the
/// steering view and are valid only as long as it is.
struct LookupAnswer {
  /// Bounds the size of an answer at any number of nodes.
  static constexpr std::size_t kMaxNodes = 8;

  Reason reason = Reason::kNone;  ///< kUnknownService, kNoZone (no node is left) or kNone.
  std::array<const LiveNode*, kMaxNodes> nodes{};
  std::size_t count = 0;
  Duration lifetime{};

  auto Nodes() const& -> std::span<const LiveNode* const> { return {nodes.data(), count}; }
  /// The span of a temporary answer would outlive it.
  auto Nodes() && -> std::span<const LiveNode* const> = delete;
};

}  // namespace heatherspan
