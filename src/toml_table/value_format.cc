#include "toml_table/value_format.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "base/number_text.h"
#include "toml_table/printable_text.h"

namespace heatherspan {

using value_format_internal::ParseDouble;
using value_format_internal::QuoteToml;
using value_format_internal::ReadNumber;
using value_format_internal::ReadText;

namespace value_format_internal {

auto ReadNumber(const TomlValue& value) -> std::optional<double> {
  if (const auto* number = std::get_if<double>(&value.value)) {
    if (std::isfinite(*number)) return *number;
  }
  if (const auto* integer = std::get_if<std::int64_t>(&value.value)) {
    return static_cast<double>(*integer);
  }
  return std::nullopt;
}

auto ParseDouble(std::string_view text) -> std::optional<double> {
  const auto number = ParseNumber<double>(text);
  if (!number.has_value() || !std::isfinite(*number)) return std::nullopt;
  return number;
}

auto ParseInteger(std::string_view text) -> std::optional<std::int64_t> {
  return ParseNumber<std::int64_t>(text);
}

auto QuoteToml(std::string_view text) -> std::string {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + '"';
}

auto ReadText(const TomlValue& value) -> std::optional<std::string> {
  const auto* text = std::get_if<std::string>(&value.value);
  return text == nullptr ? std::nullopt : std::optional(*text);
}

}  // namespace value_format_internal

namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::size_t kMaxMethods = 16;
constexpr std::size_t kMaxMethodLength = 32;
constexpr std::size_t kSha256Digits = 64;

auto IsMethod(const std::string& text) -> bool {
  return !text.empty() && text.size() <= kMaxMethodLength &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

auto AreMethods(const std::vector<std::string>& methods) -> bool {
  const std::set<std::string> distinct(methods.begin(), methods.end());
  return methods.size() <= kMaxMethods && distinct.size() == methods.size() &&
         std::all_of(methods.begin(), methods.end(), IsMethod);
}

auto Join(const std::vector<std::string>& parts, std::string_view separator) -> std::string {
  return fmt::format("{}", fmt::join(parts, separator));
}

auto Split(std::string_view text, char separator) -> std::vector<std::string> {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    parts.emplace_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

/// Returns a format of strings; the formats differ only in the values that are in range.
auto StringFormat(std::string expected, std::function<bool(const std::string&)> in_range)
    -> ValueFormat<std::string> {
  ValueFormat<std::string> format;
  format.expected = std::move(expected);
  format.read = ReadText;
  format.parse = [](std::string_view text) { return std::optional(std::string(text)); };
  format.in_range = std::move(in_range);
  format.write = [](const std::string& text) { return text; };
  format.write_toml = [](const std::string& text) { return QuoteToml(text); };
  return format;
}

/// Returns a format of lists whose elements are strings without a comma in TOML.
template <class Member>
auto ListOf(const std::function<std::optional<Member>(std::string_view)>& parse,
            const std::function<std::string(const Member&)>& write)
    -> ValueFormat<std::vector<Member>> {
  using List = std::vector<Member>;
  const auto parse_all = [parse](const std::vector<std::string>& parts) -> std::optional<List> {
    List list;
    for (const auto& part : parts) {
      auto member = parse(part);
      if (!member.has_value()) return std::nullopt;
      list.push_back(std::move(*member));
    }
    return list;
  };
  ValueFormat<List> format;
  format.read = [parse_all](const TomlValue& value) -> std::optional<List> {
    const auto* array = std::get_if<TomlValue::Array>(&value.value);
    if (array == nullptr) return std::nullopt;
    std::vector<std::string> parts;
    for (const auto& element : *array) {
      auto text = ReadText(element);
      if (!text.has_value()) return std::nullopt;
      parts.push_back(std::move(*text));
    }
    return parse_all(parts);
  };
  format.parse = [parse_all](std::string_view text) { return parse_all(Split(text, ',')); };
  format.write = [write](const List& list) {
    std::vector<std::string> parts;
    for (const auto& member : list) parts.push_back(write(member));
    return Join(parts, ",");
  };
  format.write_toml = [write](const List& list) {
    std::vector<std::string> parts;
    for (const auto& member : list) parts.push_back(QuoteToml(write(member)));
    return "[" + Join(parts, ", ") + "]";
  };
  return format;
}

/// Returns a format of values that are strings in TOML and have a function Parse of their own.
template <class Member>
auto ParsedFormat(std::string_view expected) -> ValueFormat<Member> {
  const auto parse = [](std::string_view text) -> std::optional<Member> {
    auto member = Member::Parse(text);
    if (!member.ok()) return std::nullopt;
    return std::move(*member);
  };
  ValueFormat<Member> format;
  format.expected = expected;
  format.read = [parse](const TomlValue& value) -> std::optional<Member> {
    const auto text = ReadText(value);
    return text.has_value() ? parse(*text) : std::nullopt;
  };
  format.parse = parse;
  format.in_range = [](const Member&) { return true; };
  format.write = [](const Member& member) { return member.Text(); };
  format.write_toml = [](const Member& member) { return QuoteToml(member.Text()); };
  return format;
}

}  // namespace

auto IsName(std::string_view text) -> bool {
  const auto is_letter = [](char c) { return c >= 'a' && c <= 'z'; };
  const auto is_name_character = [&](char c) {
    return is_letter(c) || (c >= '0' && c <= '9') || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameLength && is_letter(text.front()) &&
         std::all_of(text.begin(), text.end(), is_name_character);
}

auto IsPlainText(std::string_view text, std::size_t max_bytes) -> bool {
  return text.size() <= max_bytes && IsPrintableLine(text);
}

auto DurationIn(Duration unit, std::string_view unit_name, double min, double max)
    -> ValueFormat<Duration> {
  const auto unit_count = static_cast<double>(unit.count());
  // A double represents whole nanoseconds exactly up to 2^53.
  const double max_number = std::ldexp(1.0, 53) / unit_count;
  const auto make = [unit_count,
                     max_number](std::optional<double> number) -> std::optional<Duration> {
    if (!number.has_value() || std::abs(*number) > max_number) return std::nullopt;
    return Duration(std::llround(*number * unit_count));
  };
  ValueFormat<Duration> format;
  format.expected = fmt::format("a number from {} to {} {}", min, max, unit_name);
  format.read = [make](const TomlValue& value) { return make(ReadNumber(value)); };
  format.parse = [make](std::string_view text) { return make(ParseDouble(text)); };
  format.in_range = [unit_count, min, max](const Duration& duration) {
    const double number = static_cast<double>(duration.count()) / unit_count;
    return number >= min && number <= max;
  };
  format.write = [unit_count](const Duration& duration) {
    return fmt::format("{}", static_cast<double>(duration.count()) / unit_count);
  };
  format.write_toml = format.write;
  return format;
}

auto Text(std::size_t min_bytes, std::size_t max_bytes) -> ValueFormat<std::string> {
  return StringFormat(fmt::format("a line of {} to {} bytes", min_bytes, max_bytes),
                      [min_bytes, max_bytes](const std::string& text) {
                        return text.size() >= min_bytes && IsPlainText(text, max_bytes);
                      });
}

auto NameText() -> ValueFormat<std::string> {
  return StringFormat(std::string(kExpectedName), IsName);
}

auto Word(const std::vector<std::string>& words) -> ValueFormat<std::string> {
  return StringFormat(fmt::format("\"{}\"", fmt::join(words, "\" or \"")),
                      [words](const std::string& text) {
                        return std::find(words.begin(), words.end(), text) != words.end();
                      });
}

auto OptionalSha256() -> ValueFormat<std::string> {
  return StringFormat(
      "64 hexadecimal digits (0-9, a-f), or an empty string", [](const std::string& text) {
        return text.empty() || (text.size() == kSha256Digits &&
                                text.find_first_not_of("0123456789abcdef") == std::string::npos);
      });
}

auto HttpMethods() -> ValueFormat<std::vector<std::string>> {
  auto format =
      ListOf<std::string>([](std::string_view text) { return std::optional(std::string(text)); },
                          [](const std::string& text) { return text; });
  format.expected =
      fmt::format("an array of at most {} distinct HTTP methods in capitals", kMaxMethods);
  format.in_range = AreMethods;
  return format;
}

auto EndpointValue(std::uint16_t min_port, bool allow_any) -> ValueFormat<Endpoint> {
  auto format = ParsedFormat<Endpoint>(
      fmt::format("an IP address{} with a port from {} to 65535, such as \"192.0.2.7:8080\"",
                  allow_any ? "" : " other than 0.0.0.0 and ::", min_port));
  format.in_range = [min_port, allow_any](const Endpoint& endpoint) {
    const auto address = IpAddress::Parse(endpoint.address);
    const bool is_any =
        endpoint.address == "0.0.0.0" || address.value_or(IpAddress()) == IpAddress();
    return endpoint.port >= min_port && (allow_any || !is_any);
  };
  return format;
}

auto EndpointList(std::size_t max_count) -> ValueFormat<std::vector<Endpoint>> {
  const auto element = EndpointValue(1, false);
  auto format = ListOf<Endpoint>(element.parse, element.write);
  format.expected = fmt::format("an array of at most {}, each {}", max_count, element.expected);
  format.in_range = [element, max_count](const std::vector<Endpoint>& list) {
    return list.size() <= max_count && std::all_of(list.begin(), list.end(), element.in_range);
  };
  return format;
}

auto IpBlockValue() -> ValueFormat<IpBlock> {
  return ParsedFormat<IpBlock>(
      "a block of addresses with zero bits behind the prefix, such as \"10.1.0.0/16\"");
}

}  // namespace heatherspan
