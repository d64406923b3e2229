#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/time.h"

namespace heatherspan {

/// A caller's memory of look-up answers: the addresses for each service, kept for their lifetime,
/// and the ticket that came with the answer.
class LookupCache {
 public:
  /// Tickets may start a request for 10 s; an older one than this might arrive too late.
  static constexpr Duration kTicketUse = std::chrono::seconds(6);

  /// Keeps a look-up answer; false if the text is not one.
  auto Store(const std::string& service, std::string_view json_text, MonotonicTime now) -> bool;
  /// Whether the answer for the service is within its lifetime.
  auto Fresh(const std::string& service, MonotonicTime now) const -> bool;
  /// The address to use at present, also of an answer past its lifetime; empty if there is none.
  auto Address(const std::string& service) const -> std::optional<Endpoint>;
  /// Goes to the next address of the answer, and after the last one back to the first.
  auto NextAddress(const std::string& service) -> void;
  /// Removes the ticket of the answer, so that it is used once.
  auto TakeTicket(const std::string& service, MonotonicTime now) -> std::string;

 private:
  struct Entry {
    std::vector<Endpoint> addresses;
    std::size_t next = 0;
    MonotonicTime stored;
    MonotonicTime end;
    std::string ticket;
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace heatherspan
