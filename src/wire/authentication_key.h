#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

namespace heatherspan {

/// HMAC-SHA256 cut to 16 bytes.
using AuthenticationTag = std::array<char, 16>;

/// A key for HMAC-SHA256. Immutable and safe for use by several threads.
class AuthenticationKey {
 public:
  explicit AuthenticationKey(std::string_view secret);
  ~AuthenticationKey();
  AuthenticationKey(AuthenticationKey&&) noexcept;
  auto operator=(AuthenticationKey&&) noexcept -> AuthenticationKey&;

  auto Sign(std::string_view bytes) const -> AuthenticationTag;
  /// Compares in a time that does not depend on the content.
  auto Verify(std::string_view bytes, std::string_view tag) const -> bool;

  /// A key for one purpose. Bytes signed with it pass for no other purpose and no other context.
  auto Derive(std::string_view purpose, std::string_view context) const -> AuthenticationKey;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
