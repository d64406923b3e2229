#pragma once

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "membership/member_table.h"
#include "membership/update_queue.h"
#include "messages/config_digest.h"
#include "messages/member_update.h"
#include "messages/node_load.h"

namespace heatherspan {

/// Fills the variable parts of messages up to the maximum size of a datagram.
class MessageComposer {
 public:
  MessageComposer(const MemberTable& table, UpdateQueue& updates)
      : table_(table), updates_(updates) {}

  auto SetConfig(ConfigDigest digest) -> void { digest_ = std::move(digest); }
  /// Omits the last services if the load report is larger than kMaxLoadBytes.
  auto SetLoad(NodeLoad load) -> void;

  /// Completes a Ping, an Ack or a PingRequest to a member. The message carries the own record, the
  /// record of the receiver unless the receiver is alive in the table, queued updates, and records
  /// of other members in turn.
  template <class Message>
  auto Complete(Message message, InstanceId receiver, MonotonicTime now) -> Message;

 private:
  auto Cursor(InstanceId receiver, bool new_member) -> InstanceId&;
  auto Updates(InstanceId receiver, std::size_t bytes_left, MonotonicTime now)
      -> std::vector<MemberUpdate>;

  const MemberTable& table_;
  UpdateQueue& updates_;
  ConfigDigest digest_;
  NodeLoad load_;
  InstanceId anti_entropy_cursor_;
  /// A cursor for each new member. The new member receives the whole member list, independently of
  /// messages to other members in between.
  std::map<InstanceId, InstanceId> new_member_cursors_;
};

}  // namespace heatherspan
