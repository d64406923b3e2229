#pragma once

#include <array>
#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"

namespace heatherspan {

/// Why a target may know an object.
enum class WarmHint : std::size_t {
  kHandled,       ///< It has answered this node about it.
  kSent,          ///< This node has sent it there and waits for the answer.
  kHomeFirst,     ///< First choice for the object in its home region.
  kHomeSecond,    ///< Second choice there, or first choice in another region.
  kNone,
  kCount,
};

/// Learns, for each route and hint, how often the target did know the object. Other nodes send the
/// same objects by the same hashes, so that this depends on their number and on the traffic.
class WarmOdds {
 public:
  auto Odds(const RouteName& route, WarmHint hint) const -> double;
  auto Learn(const RouteName& route, WarmHint hint, bool warm) -> void;

 private:
  using Table = std::array<double, static_cast<std::size_t>(WarmHint::kCount)>;
  /// Before anything is learned, in the order of WarmHint.
  static constexpr Table kInitial = {0.95, 0.9, 0.7, 0.2, 0.02};

  absl::flat_hash_map<RouteName, Table> tables_;
};

}  // namespace heatherspan
