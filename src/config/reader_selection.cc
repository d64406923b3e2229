#include "config/reader_selection.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {

auto SelectReaders(const std::vector<ReaderCandidate>& live, const ZoneName& zone)
    -> std::vector<InstanceId> {
  const auto key = StableHash(zone.value());
  std::vector<std::pair<double, InstanceId>> ranked;
  for (const auto& candidate : live) {
    if (candidate.zone != zone) continue;
    ranked.emplace_back(RendezvousScore(key, candidate.instance.value()), candidate.instance);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<InstanceId> readers;
  for (std::size_t i = 0; i < std::min(ranked.size(), kReadersPerZone); ++i) {
    readers.push_back(ranked[i].second);
  }
  return readers;
}

}  // namespace heatherspan
