#pragma once

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// The number of readers per zone. With two readers, the loss of one doesn't delay a new version.
inline constexpr std::size_t kReadersPerZone = 2;

/// A live entry VM that may be selected as a reader.
struct ReaderCandidate {
  ZoneName zone;
  InstanceId instance;
};

/// Returns the instances of a zone that watch the store, selected by rendezvous hashing. Nodes with
/// the same members select the same readers, and a change of members changes as few readers as
/// possible.
auto SelectReaders(const std::vector<ReaderCandidate>& live, const ZoneName& zone)
    -> std::vector<InstanceId>;

}  // namespace heatherspan
