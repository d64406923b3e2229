#pragma once

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/ip_block.h"
#include "base/time.h"
#include "fmt/format.h"
#include "toml_table/toml_value.h"

namespace heatherspan {

/// Functions that read the values of one key from TOML and from plain text, check them and write
/// them.
template <class Member>
struct ValueFormat {
  /// Type, unit and range, for example "a whole number from 1 to 100".
  std::string expected;
  /// Returns nothing when the value has another type than expected.
  std::function<std::optional<Member>(const TomlValue&)> read;
  /// Parses the output of `write`.
  std::function<std::optional<Member>(std::string_view)> parse;
  std::function<bool(const Member&)> in_range;
  /// Returns plain text without quotes.
  std::function<std::string(const Member&)> write;
  /// Returns TOML text.
  std::function<std::string(const Member&)> write_toml;
};

namespace value_format_internal {

template <class Member>
constexpr auto ToNumber(const Member& member) {
  if constexpr (std::is_arithmetic_v<Member>) {
    return member;
  } else {
    return member.value();
  }
}

auto ReadNumber(const TomlValue& value) -> std::optional<double>;
auto ParseDouble(std::string_view text) -> std::optional<double>;
auto ParseInteger(std::string_view text) -> std::optional<std::int64_t>;
auto QuoteToml(std::string_view text) -> std::string;
auto ReadText(const TomlValue& value) -> std::optional<std::string>;

}  // namespace value_format_internal

inline constexpr std::string_view kExpectedName =
    "a name: at most 63 of a-z, 0-9 and hyphens, a letter first";
/// Returns whether the text consists of at most 63 letters a-z, digits and hyphens, with a letter
/// first.
auto IsName(std::string_view text) -> bool;
/// Returns whether the text is UTF-8 without control characters and has at most the given number of
/// bytes.
auto IsPlainText(std::string_view text, std::size_t max_bytes) -> bool;

/// Whole numbers; the member is an integer or a StrongNumber of an integer.
template <class Member>
auto WholeNumber(std::int64_t min, std::int64_t max, std::string_view unit = "")
    -> ValueFormat<Member> {
  using Rep = decltype(value_format_internal::ToNumber(std::declval<Member>()));
  const auto make = [](std::optional<std::int64_t> number) -> std::optional<Member> {
    if (!number.has_value() || !std::in_range<Rep>(*number)) return std::nullopt;
    return Member(static_cast<Rep>(*number));
  };
  ValueFormat<Member> format;
  format.expected =
      fmt::format("a whole number from {} to {}{}{}", min, max, unit.empty() ? "" : " ", unit);
  format.read = [make](const TomlValue& value) -> std::optional<Member> {
    const auto* number = std::get_if<std::int64_t>(&value.value);
    return number == nullptr ? std::nullopt : make(*number);
  };
  format.parse = [make](std::string_view text) {
    return make(value_format_internal::ParseInteger(text));
  };
  format.in_range = [min, max](const Member& member) {
    const auto number = static_cast<std::int64_t>(value_format_internal::ToNumber(member));
    return number >= min && number <= max;
  };
  format.write = [](const Member& member) {
    return fmt::format("{}", value_format_internal::ToNumber(member));
  };
  format.write_toml = format.write;
  return format;
}

/// Numbers with or without a fraction; the member is a double or a StrongNumber of a double.
template <class Member>
auto Number(double min, double max, std::string_view unit = "") -> ValueFormat<Member> {
  const auto make = [](std::optional<double> number) -> std::optional<Member> {
    if (!number.has_value()) return std::nullopt;
    return Member(*number);
  };
  ValueFormat<Member> format;
  format.expected =
      fmt::format("a number from {} to {}{}{}", min, max, unit.empty() ? "" : " ", unit);
  format.read = [make](const TomlValue& value) {
    return make(value_format_internal::ReadNumber(value));
  };
  format.parse = [make](std::string_view text) {
    return make(value_format_internal::ParseDouble(text));
  };
  format.in_range = [min, max](const Member& member) {
    const double number = value_format_internal::ToNumber(member);
    return number >= min && number <= max;
  };
  format.write = [](const Member& member) {
    return fmt::format("{}", value_format_internal::ToNumber(member));
  };
  format.write_toml = format.write;
  return format;
}

/// A duration, written as a number of units such as milliseconds.
auto DurationIn(Duration unit, std::string_view unit_name, double min, double max)
    -> ValueFormat<Duration>;
inline auto Milliseconds(double min, double max) -> ValueFormat<Duration> {
  return DurationIn(std::chrono::milliseconds(1), "ms", min, max);
}
inline auto Seconds(double min, double max) -> ValueFormat<Duration> {
  return DurationIn(std::chrono::seconds(1), "s", min, max);
}

/// One line of free text with a number of bytes in the given range.
auto Text(std::size_t min_bytes, std::size_t max_bytes) -> ValueFormat<std::string>;
/// A name; the member is a std::string.
auto NameText() -> ValueFormat<std::string>;
/// One word of a list.
auto Word(const std::vector<std::string>& words) -> ValueFormat<std::string>;
/// The lowercase hexadecimal digits of a SHA-256 hash, or an empty string.
auto OptionalSha256() -> ValueFormat<std::string>;
/// A list of distinct HTTP methods.
auto HttpMethods() -> ValueFormat<std::vector<std::string>>;

/// An IP address with a port of at least `min_port`. Without `allow_any`, the unspecified addresses
/// 0.0.0.0 and :: are rejected, as other processes can't reach them.
auto EndpointValue(std::uint16_t min_port, bool allow_any) -> ValueFormat<Endpoint>;
auto EndpointList(std::size_t max_count) -> ValueFormat<std::vector<Endpoint>>;
auto IpBlockValue() -> ValueFormat<IpBlock>;

/// A name; the member is a StrongString.
template <class Member>
auto Name() -> ValueFormat<Member> {
  ValueFormat<Member> format;
  format.expected = kExpectedName;
  format.read = [](const TomlValue& value) -> std::optional<Member> {
    auto text = value_format_internal::ReadText(value);
    if (!text.has_value()) return std::nullopt;
    return Member(std::move(*text));
  };
  format.parse = [](std::string_view text) -> std::optional<Member> {
    return Member(std::string(text));
  };
  format.in_range = [](const Member& member) { return IsName(member.value()); };
  format.write = [](const Member& member) { return member.value(); };
  format.write_toml = [](const Member& member) {
    return value_format_internal::QuoteToml(member.value());
  };
  return format;
}

/// Two names, written as an array in TOML.
template <class Member>
auto NamePair() -> ValueFormat<std::pair<Member, Member>> {
  using Pair = std::pair<Member, Member>;
  const auto name = Name<Member>();
  ValueFormat<Pair> format;
  format.expected = "an array of two names";
  format.read = [name](const TomlValue& value) -> std::optional<Pair> {
    if (value.At(1) == nullptr || value.At(2) != nullptr) return std::nullopt;
    auto a = name.read(*value.At(0));
    auto b = name.read(*value.At(1));
    if (!a.has_value() || !b.has_value()) return std::nullopt;
    return Pair(std::move(*a), std::move(*b));
  };
  format.parse = [name](std::string_view text) -> std::optional<Pair> {
    const auto comma = text.find(',');
    if (comma == std::string_view::npos) return std::nullopt;
    return Pair(*name.parse(text.substr(0, comma)), *name.parse(text.substr(comma + 1)));
  };
  format.in_range = [name](const Pair& pair) {
    return name.in_range(pair.first) && name.in_range(pair.second);
  };
  format.write = [](const Pair& pair) { return pair.first.value() + "," + pair.second.value(); };
  format.write_toml = [name](const Pair& pair) {
    return "[" + name.write_toml(pair.first) + ", " + name.write_toml(pair.second) + "]";
  };
  return format;
}

/// An enumerator written as a word.
template <class Enum>
auto Choice(std::vector<std::pair<std::string, Enum>> choices) -> ValueFormat<Enum> {
  const auto parse = [choices](std::string_view text) -> std::optional<Enum> {
    for (const auto& [word, value] : choices) {
      if (word == text) return value;
    }
    return std::nullopt;
  };
  ValueFormat<Enum> format;
  for (const auto& [word, value] : choices) {
    format.expected += fmt::format("{}\"{}\"", format.expected.empty() ? "" : " or ", word);
  }
  format.read = [parse](const TomlValue& value) -> std::optional<Enum> {
    const auto text = value_format_internal::ReadText(value);
    return text.has_value() ? parse(*text) : std::nullopt;
  };
  format.parse = parse;
  format.in_range = [](const Enum&) { return true; };
  format.write = [choices](const Enum& value) {
    for (const auto& [word, choice] : choices) {
      if (choice == value) return word;
    }
    return std::string();
  };
  format.write_toml = [write = format.write](const Enum& value) {
    return value_format_internal::QuoteToml(write(value));
  };
  return format;
}

}  // namespace heatherspan
