#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace heatherspan {

/// An IP address and a port, for example 192.0.2.7:8080 or [2001:db8::1]:8080.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  /// Accepts an IP number and a port; host names are refused.
  static auto Parse(std::string_view text) -> absl::StatusOr<Endpoint>;
  auto Text() const -> std::string;

  // NOLINTBEGIN(modernize-use-nullptr): misreads a defaulted operator<=>.
  friend auto operator<=>(const Endpoint&, const Endpoint&) -> std::strong_ordering = default;
  // NOLINTEND(modernize-use-nullptr)

  template <class H>
  friend auto AbslHashValue(H state, const Endpoint& endpoint) -> H {
    return H::combine(std::move(state), endpoint.address, endpoint.port);
  }

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(address, port);
  }
};

}  // namespace heatherspan
