#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <string_view>

namespace heatherspan {

/// SHA-256 of a team's access key. Tables, logs and messages hold digests, never the keys.
class AccessKeyDigest {
 public:
  static constexpr std::size_t kBytes = 32;

  static auto Of(std::string_view key) -> AccessKeyDigest;

  // NOLINTBEGIN(modernize-use-nullptr): misreads a defaulted operator<=>.
  friend auto operator<=>(const AccessKeyDigest&, const AccessKeyDigest&)
      -> std::strong_ordering = default;
  // NOLINTEND(modernize-use-nullptr)
  template <class H>
  friend auto AbslHashValue(H state, const AccessKeyDigest& digest) -> H {
    return H::combine(std::move(state), digest.bytes_);
  }

 private:
  std::array<unsigned char, kBytes> bytes_{};
};

}  // namespace heatherspan
