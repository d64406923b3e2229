#include "standins/request_target.h"

namespace heatherspan {

auto RequestTarget::Parse(std::string_view text) -> RequestTarget {
  RequestTarget target;
  const auto question = text.find('?');
  target.path = std::string(text.substr(0, question));
  if (question == std::string_view::npos) return target;
  auto rest = text.substr(question + 1);
  while (!rest.empty()) {
    const auto ampersand = rest.find('&');
    const auto pair = rest.substr(0, ampersand);
    const auto equals = pair.find('=');
    const auto value =
        equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    target.query.insert_or_assign(std::string(pair.substr(0, equals)), std::string(value));
    rest = ampersand == std::string_view::npos ? std::string_view() : rest.substr(ampersand + 1);
  }
  return target;
}

auto RequestTarget::After(std::string_view prefix) const -> std::string_view {
  const std::string_view whole = path;
  return whole.starts_with(prefix) ? whole.substr(prefix.size()) : std::string_view();
}

}  // namespace heatherspan
