#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace heatherspan {

/// The body of a target stand-in's answer: one line of JSON that names the request, filler of the
/// wanted size, and a last line with a checksum over all of it. A caller can tell from the body
/// alone whether it has the whole answer to its own request.
struct AnswerBody {
  std::string target;
  std::string request_id;
  std::string ticket;
  std::string digest;  ///< Of the request; see RequestDigest.

  auto Compose(std::size_t filler_bytes) const -> std::string;
  /// Empty if the body is incomplete or changed.
  static auto Parse(std::string_view body) -> std::optional<AnswerBody>;

  friend auto operator==(const AnswerBody&, const AnswerBody&) -> bool = default;
};

/// Identifies a request by what the target sees of it.
auto RequestDigest(std::string_view method, std::string_view path, std::string_view body)
    -> std::string;

}  // namespace heatherspan
