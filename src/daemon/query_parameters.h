#pragma once

#include <optional>
#include <string_view>

namespace heatherspan {

/// The value of a parameter in the query of an HTTP request target. Values are not decoded, because
/// the names, numbers and addresses in this system's queries need no escapes.
auto QueryParameter(std::string_view target, std::string_view name)
    -> std::optional<std::string_view>;

/// The path of an HTTP request target.
auto PathOf(std::string_view target) -> std::string_view;

}  // namespace heatherspan
