#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace heatherspan {

/// An IPv6 address; IPv4 addresses are held in their mapped form.
class IpAddress {
 public:
  IpAddress() = default;

  /// Accepts dotted IPv4 and IPv6 text.
  static auto Parse(std::string_view text) -> absl::StatusOr<IpAddress>;

  auto bytes() const -> const std::array<std::uint8_t, 16>& { return bytes_; }
  auto is_v4() const -> bool;
  auto Text() const -> std::string;

  // NOLINTBEGIN(modernize-use-nullptr): misreads a defaulted operator<=>.
  friend auto operator<=>(const IpAddress&, const IpAddress&) -> std::strong_ordering = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  std::array<std::uint8_t, 16> bytes_{};
};

}  // namespace heatherspan
