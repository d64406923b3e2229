#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/number_text.h"

namespace heatherspan {

/// The path and the query parameters of an HTTP request target.
struct RequestTarget {
  std::string path;
  std::map<std::string, std::string, std::less<>> query;

  /// Splits "/path?name=value&name=value"; percent encoding is not decoded.
  static auto Parse(std::string_view text) -> RequestTarget;

  /// The part of the path after the prefix; empty if the path doesn't start with it.
  auto After(std::string_view prefix) const -> std::string_view;

  /// A query parameter as a number; empty if it is absent or not a number.
  template <class Number>
  auto QueryNumber(std::string_view name) const -> std::optional<Number> {
    const auto found = query.find(name);
    if (found == query.end()) return std::nullopt;
    return ParseNumber<Number>(found->second);
  }
};

}  // namespace heatherspan
