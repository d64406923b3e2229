#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "tickets/ticket.h"

namespace heatherspan {

/// Issues tickets of one instance and parses tickets of all instances with the same key. The text
/// of a ticket is the URL-safe base64 encoding, without padding, of the fields and a truncated
/// HMAC-SHA256. Each ticket has exactly one valid text.
class TicketCodec {
 public:
  /// The maximum length of the node name in a ticket.
  static constexpr std::size_t kMaxNameBytes = 128;

  /// The key must not be empty. The name is truncated to kMaxNameBytes.
  TicketCodec(std::string key, InstanceId self, const NodeName& name);

  /// Issues a ticket of this instance at the given time.
  auto Issue(MonotonicTime now, Random& random) const -> std::string;

  /// Checks the format and the HMAC. The error message does not contain the text of the ticket.
  auto Parse(std::string_view text) const -> absl::StatusOr<Ticket>;

 private:
  std::string key_;
  InstanceId self_;
  NodeName name_;
};

}  // namespace heatherspan
