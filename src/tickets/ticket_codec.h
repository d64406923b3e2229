#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "tickets/ticket.h"

namespace heatherspan {

/// Issues tickets of one instance and checks tickets of every instance that has the same key.
/// The text of a ticket is URL-safe base64 without padding over the fields and a truncated
/// HMAC-SHA256; a ticket has exactly one valid text.
class TicketCodec {
 public:
  /// The longest node name that fits into a ticket.
  static constexpr std::size_t kMaxNameBytes = 128;

  /// The key must not be empty. A name beyond kMaxNameBytes is cut off.
  TicketCodec(std::string key, InstanceId self, const NodeName& name);

  /// Issues a ticket of the own instance at the given time.
  auto Issue(MonotonicTime now, Random& random) const -> std::string;

  /// Checks form and HMAC. The error says what was wrong with the text without repeating it.
  auto Parse(std::string_view text) const -> absl::StatusOr<Ticket>;

 private:
  std::string key_;
  InstanceId self_;
  NodeName name_;
};

}  // namespace heatherspan
