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

/// Fills the variable parts of messages within the size of a datagram.
class MessageComposer {
 public:
  MessageComposer(const MemberTable& table, UpdateQueue& updates)
      : table_(table), updates_(updates) {}

  auto SetConfig(ConfigDigest digest) -> void { digest_ = std::move(digest); }
  /// Leaves out the last services if the report is too large for a message.
  auto SetLoad(NodeLoad load) -> void;

  /// Completes a Ping, an Ack or a PingRequest to a member: the own record, what this node believes
  /// of the receiver if it is not alive, news, and records of other members in turn.
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
  /// A newcomer is led through the whole list, whatever others are sent in between.
  std::map<InstanceId, InstanceId> new_member_cursors_;
};

}  // namespace heatherspan
