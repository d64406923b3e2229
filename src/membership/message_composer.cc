#include "membership/message_composer.h"

#include <algorithm>
#include <concepts>
#include <utility>

#include "membership/encoded_size.h"
#include "membership/membership_timing.h"
#include "messages/ack.h"
#include "messages/ping.h"
#include "messages/ping_request.h"

namespace heatherspan {
namespace {

constexpr std::size_t kVariantTagBytes = 4;

}  // namespace

auto MessageComposer::SetLoad(NodeLoad load) -> void {
  load_ = std::move(load);
  while (!load_.services.empty() && EncodedSize(load_) > kMaxLoadBytes) load_.services.pop_back();
}

template <class Message>
auto MessageComposer::Complete(Message message, InstanceId receiver, MonotonicTime now) -> Message {
  if constexpr (!std::same_as<Message, PingRequest>) {
    message.config = digest_;
    message.load = load_;
  }
  const auto used = EncodedSize(message) + kVariantTagBytes + kEnvelopeBytes;
  message.updates = Updates(receiver, kMaxDatagramBytes - std::min(used, kMaxDatagramBytes), now);
  return message;
}

template auto MessageComposer::Complete(Ping, InstanceId, MonotonicTime) -> Ping;
template auto MessageComposer::Complete(Ack, InstanceId, MonotonicTime) -> Ack;
template auto MessageComposer::Complete(PingRequest, InstanceId, MonotonicTime) -> PingRequest;

auto MessageComposer::Updates(InstanceId receiver, std::size_t bytes_left, MonotonicTime now)
    -> std::vector<MemberUpdate> {
  std::vector<MemberUpdate> updates;
  const auto add = [&updates, &bytes_left](const MemberUpdate& update) {
    const auto size = EncodedSize(update);
    if (size > bytes_left) return;
    bytes_left -= size;
    updates.push_back(update);
  };
  add(table_.self());
  // The receiver can refute a suspicion at once if the message carries the receiver's own record.
  const auto* known = table_.Find(receiver);
  if (known != nullptr && known->state != MemberState::kAlive) add(*known);
  for (auto& update :
       updates_.Take(kMaxUpdates - updates.size(), table_.live_count(), bytes_left)) {
    updates.push_back(std::move(update));
  }
  const bool new_member = table_.IsNewMember(receiver, now);
  const auto anti_entropy_updates =
      std::min(new_member ? kMaxUpdates : kAntiEntropyUpdates, table_.live_count());
  auto& cursor = Cursor(receiver, new_member);
  for (std::size_t i = 0; i < anti_entropy_updates && updates.size() < kMaxUpdates; ++i) {
    const auto* next = table_.NextAlive(cursor);
    if (next == nullptr || EncodedSize(*next) > bytes_left) break;
    cursor = next->instance;
    add(*next);
  }
  return updates;
}

auto MessageComposer::Cursor(InstanceId receiver, bool new_member) -> InstanceId& {
  if (!new_member) return anti_entropy_cursor_;
  if (new_member_cursors_.size() >= kMaxNewMemberCursors &&
      !new_member_cursors_.contains(receiver)) {
    new_member_cursors_.clear();
  }
  return new_member_cursors_[receiver];
}

}  // namespace heatherspan
