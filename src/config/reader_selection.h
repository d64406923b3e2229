#pragma once

#include <cstddef>
#include <vector>

#include "base/ids.h"

namespace heatherspan {

/// Readers per zone; two, so that the loss of one doesn't delay a version.
inline constexpr std::size_t kReadersPerZone = 2;

/// A live entry VM.
struct ReaderCandidate {
  ZoneName zone;
  InstanceId instance;
};

/// The instances of a zone that watch the store: the first ones by rendezvous hashing. Nodes with
/// the same members select the same ones, and a change of members moves as few as possible.
auto SelectReaders(const std::vector<ReaderCandidate>& live, const ZoneName& zone)
    -> std::vector<InstanceId>;

}  // namespace heatherspan
