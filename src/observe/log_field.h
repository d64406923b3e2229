#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace heatherspan {

/// A key=value pair of an event.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view name, std::string text) : key(name), value(std::move(text)) {}
  LogField(std::string_view name, std::string_view text) : key(name), value(text) {}
  LogField(std::string_view name, const char* text) : key(name), value(text) {}
  template <std::integral Number>
  LogField(std::string_view name, Number number) : key(name), value(std::to_string(number)) {}
};

}  // namespace heatherspan
