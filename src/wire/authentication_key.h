#pragma once

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

namespace heatherspan {

/// HMAC-SHA256 truncated to 16 bytes.
using AuthenticationTag = std::array<char, 16>;

/// A key for HMAC-SHA256. Immutable and thread-safe.
class AuthenticationKey {
 public:
  explicit AuthenticationKey(std::string_view secret);
  ~AuthenticationKey();
  AuthenticationKey(AuthenticationKey&&) noexcept;
  auto operator=(AuthenticationKey&&) noexcept -> AuthenticationKey&;

  auto Sign(std::string_view bytes) const -> AuthenticationTag;
  /// Compares the tags in constant time.
  auto Verify(std::string_view bytes, std::string_view tag) const -> bool;

  /// Derives a key for one purpose and context. A tag made with the derived key is not valid for
  /// any other purpose or context.
  auto Derive(std::string_view purpose, std::string_view context) const -> AuthenticationKey;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
