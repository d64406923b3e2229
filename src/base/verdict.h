#pragma once

#include <optional>
#include <string_view>

namespace heatherspan {

/// Whether a request has been run by a target.
enum class Verdict {
  kNotRun,      ///< No target has started it, and none will.
  kMayHaveRun,  ///< It was sent, and its result is unknown.
  kRan,         ///< A target answered it.
};

/// Returns "not-run", "may-have-run" or "ran", as in the response header.
auto VerdictText(Verdict verdict) -> std::string_view;

/// The inverse of VerdictText.
auto ParseVerdict(std::string_view text) -> std::optional<Verdict>;

}  // namespace heatherspan
