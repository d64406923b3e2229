#include "daemon/query_parameters.h"

namespace heatherspan {

auto QueryParameter(std::string_view target, std::string_view name)
    -> std::optional<std::string_view> {
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) return std::nullopt;
  auto rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    if (end == std::string_view::npos) break;
    rest.remove_prefix(end + 1);
  }
  return std::nullopt;
}

auto PathOf(std::string_view target) -> std::string_view {
  return target.substr(0, target.find('?'));
}

}  // namespace heatherspan
