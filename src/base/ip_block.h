#pragma once

#include <compare>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "base/ip_address.h"

namespace heatherspan {

/// A block of addresses with a common prefix. Lengths count in the 128-bit form, so that the IPv4
/// block 10.0.0.0/8 has the length 104.
class IpBlock {
 public:
  IpBlock() = default;

  /// Accepts "10.1.0.0/16" and "2001:db8::/32". Bits behind the prefix must be zero.
  static auto Parse(std::string_view text) -> absl::StatusOr<IpBlock>;

  auto address() const -> const IpAddress& { return address_; }
  auto length() const -> int { return length_; }
  auto Contains(const IpAddress& address) const -> bool;
  auto Text() const -> std::string;

  // NOLINTBEGIN(modernize-use-nullptr): misreads a defaulted operator<=>.
  friend auto operator<=>(const IpBlock&, const IpBlock&) -> std::strong_ordering = default;
  // NOLINTEND(modernize-use-nullptr)

 private:
  IpAddress address_;
  int length_ = 0;
};

}  // namespace heatherspan
