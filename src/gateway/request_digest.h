#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace heatherspan {

/// 128 bits of HMAC-SHA-256 over all parts in which requests can differ. Equal requests have the
/// same digest at all entry VMs that use the same key, and the digest does not reveal the request.
class RequestDigest {
 public:
  constexpr RequestDigest() = default;
  constexpr RequestDigest(std::uint64_t high, std::uint64_t low) : high_(high), low_(low) {}

  /// Each part is hashed with its length, so that moving text from one part to the next changes the
  /// digest.
  static auto Of(std::string_view key, std::initializer_list<std::string_view> parts)
      -> RequestDigest;
  /// Reads 32 hexadecimal digits, as Text() writes them.
  static auto Parse(std::string_view text) -> std::optional<RequestDigest>;

  auto Text() const -> std::string;
  /// The digest is distributed evenly, so that a part of it serves as a hash.
  auto hash() const -> std::uint64_t { return low_; }

  // NOLINTBEGIN(modernize-use-nullptr): misreads a defaulted operator<=>.
  friend auto operator<=>(const RequestDigest&, const RequestDigest&)
      -> std::strong_ordering = default;
  // NOLINTEND(modernize-use-nullptr)
  template <class H>
  friend auto AbslHashValue(H state, const RequestDigest& digest) -> H {
    return H::combine(std::move(state), digest.high_, digest.low_);
  }

 private:
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;
};

}  // namespace heatherspan
