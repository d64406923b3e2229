#pragma once

#include <vector>

#include "base/ids.h"
#include "membership/member_table.h"
#include "membership/update_queue.h"
#include "messages/config_digest.h"
#include "messages/member_update.h"
#include "messages/node_load.h"

namespace heatherspan {

/// Fills the variable parts of messages within the size of a datagram.
class MessageComposer {
 public:
  MessageComposer(const MemberTable& table, UpdateQueue& news) : table_(table), news_(news) {}

  auto SetConfig(ConfigDigest digest) -> void { digest_ = std::move(digest); }
  auto SetLoad(NodeLoad load) -> void { load_ = std::move(load); }

  /// Completes a Ping, an Ack or a PingRequest to a member: the own record, what this node believes
  /// of the receiver if it is not alive, news, and records of other members in turn.
  template <class Message>
  auto Complete(Message message, InstanceId receiver, MonotonicTime now) -> Message;

 private:
  auto Updates(InstanceId receiver, std::size_t room, MonotonicTime now)
      -> std::vector<MemberUpdate>;

  const MemberTable& table_;
  UpdateQueue& news_;
  ConfigDigest digest_;
  NodeLoad load_;
  InstanceId repair_cursor_;
};

}  // namespace heatherspan
