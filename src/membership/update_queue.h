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

/// News to piggyback: the latest update of each member, until it was sent often enough to have
/// reached everyone with high probability. The least often sent goes first.
class UpdateQueue {
 public:
  /// Replaces older news of the same member.
  auto Push(const MemberUpdate& update) -> void;
  auto Remove(InstanceId instance) -> void;

  /// Takes updates for one message to a group of the given size; `bytes_left` is reduced by their
  /// encoded size.
  auto Take(std::size_t max_updates, std::size_t members, std::size_t& bytes_left)
      -> std::vector<MemberUpdate>;

  auto size() const -> std::size_t { return entries_.size(); }

  /// How often an update is sent by each node of a group of the given size.
  static auto TransmitLimit(std::size_t members) -> int;

 private:
  /// Times sent, then the latest first, then the instance.
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
