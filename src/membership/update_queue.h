#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "messages/member_update.h"

namespace heatherspan {

/// Updates to piggyback on messages. The queue holds the latest update of each member until the
/// update has been sent often enough to have reached all members with high probability. The update
/// that has been sent least often is sent first.
class UpdateQueue {
 public:
  /// Replaces an older update of the same member.
  auto Push(const MemberUpdate& update) -> void;
  auto Remove(InstanceId instance) -> void;

  /// Takes updates for one message. `members` is the size of the group. `bytes_left` is reduced by
  /// the encoded size of the updates.
  auto Take(std::size_t max_updates, std::size_t members, std::size_t& bytes_left)
      -> std::vector<MemberUpdate>;

  auto size() const -> std::size_t { return entries_.size(); }

  /// How often each node of a group of the given size sends an update.
  static auto TransmitLimit(std::size_t members) -> int;

 private:
  /// Number of transmissions, recency (the latest update has the lowest value), instance.
  using Rank = std::tuple<int, std::uint64_t, InstanceId>;
  struct Entry {
    MemberUpdate update;
    Rank rank;
  };

  std::map<InstanceId, Entry> entries_;
  std::set<Rank> order_;
  std::uint64_t next_recency_ = std::numeric_limits<std::uint64_t>::max();
};

}  // namespace heatherspan
