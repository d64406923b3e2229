#include "membership/update_queue.h"

#include "membership/encoded_size.h"

namespace heatherspan {
namespace {

// At three times the binary logarithm of the group size, the probability that an update misses a
// member decreases with the square of the group size.
constexpr int kTransmitMultiplier = 3;

}  // namespace

auto UpdateQueue::Push(const MemberUpdate& update) -> void {
  Remove(update.instance);
  const Rank rank{0, next_recency_--, update.instance};
  entries_[update.instance] = Entry{update, rank};
  order_.insert(rank);
}

auto UpdateQueue::Remove(InstanceId instance) -> void {
  const auto found = entries_.find(instance);
  if (found == entries_.end()) return;
  order_.erase(found->second.rank);
  entries_.erase(found);
}

auto UpdateQueue::TransmitLimit(std::size_t members) -> int {
  int doublings = 1;
  while ((std::size_t{1} << doublings) < members + 1) ++doublings;
  return kTransmitMultiplier * doublings;
}

auto UpdateQueue::Take(std::size_t max_updates, std::size_t members, std::size_t& bytes_left)
    -> std::vector<MemberUpdate> {
  std::vector<MemberUpdate> taken;
  std::size_t tried = 0;
  for (const auto& rank : order_) {
    // Updates differ little in size. If two updates don't fit, the space is used up.
    if (taken.size() == max_updates || tried > taken.size() + 1) break;
    const auto& update = entries_.at(std::get<InstanceId>(rank)).update;
    ++tried;
    const auto size = EncodedSize(update);
    if (size > bytes_left) continue;
    bytes_left -= size;
    taken.push_back(update);
  }
  const int limit = TransmitLimit(members);
  for (const auto& update : taken) {
    auto& entry = entries_.at(update.instance);
    order_.erase(entry.rank);
    if (++std::get<int>(entry.rank) < limit) {
      order_.insert(entry.rank);
    } else {
      entries_.erase(update.instance);
    }
  }
  return taken;
}

}  // namespace heatherspan
