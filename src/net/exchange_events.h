#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>

namespace heatherspan {

enum class ExchangeEvent : std::uint8_t {
  kWrite,        ///< The operating system has taken the whole request.
  kWriteFailed,  ///< It has taken a part or nothing.
  kReconnect,    ///< It had taken nothing, and the request goes over a new connection.
  kOtherAnswer,  ///< An answer to another request was dropped.
  kAnswer,       ///< The whole answer was read.
  kRefused,      ///< The peer's machine refused the connection.
  kClose,        ///< The peer ended the connection, or a write had learned of its reset.
  kReset,        ///< The peer reset the connection.
  kDeadline,
  kCancel,
  kFailure,  ///< Any other end.
};

/// What happened in an exchange, in the order in which the client learned of it.
class ExchangeEvents {
 public:
  /// Leaves out a repetition of the latest event, and what is over the capacity.
  auto Add(ExchangeEvent event) -> void;
  auto Contains(ExchangeEvent event) const -> bool;
  /// For example "write,answer".
  auto Text() const -> std::string;

 private:
  static constexpr std::size_t kCapacity = 8;

  std::array<ExchangeEvent, kCapacity> events_{};
  std::uint8_t size_ = 0;
};

}  // namespace heatherspan
