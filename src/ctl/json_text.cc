#include "ctl/json_text.h"

#include <nlohmann/json.hpp>

#include "toml_table/printable_text.h"

namespace heatherspan {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kMaxDepth = 16;

/// Discarded when the text is no JSON, or nests deeper than any answer should.
auto Parse(std::string_view text) -> Json {
  bool too_deep = false;
  const auto check = [&too_deep](int depth, Json::parse_event_t, Json&) {
    too_deep = too_deep || depth > kMaxDepth;
    return !too_deep;
  };
  auto json = Json::parse(text, check, false);
  return too_deep ? Json(Json::value_t::discarded) : json;
}

auto Dump(const Json& json, int indent) -> std::string {
  return json.dump(indent, ' ', false, Json::error_handler_t::replace);
}

auto Scalar(const Json& json) -> std::string {
  return json.is_string() ? PrintableText(json.get<std::string>()) : Dump(json, -1);
}

auto IsFlat(const Json& json) -> bool {
  for (const auto& element : json) {
    if (element.is_structured()) return false;
  }
  return true;
}

/// An object without nested values on one line, as in lists of versions.
auto OneLine(const Json& json) -> std::string {
  std::string text;
  for (const auto& [key, value] : json.items()) {
    text += (text.empty() ? "" : ", ") + PrintableText(key) + ": " + Scalar(value);
  }
  return text;
}

auto Write(const Json& json, std::size_t indent, std::string& text) -> void {
  const std::string space(indent, ' ');
  for (const auto& [key, value] : json.items()) {
    const auto label = json.is_array() ? std::string("-") : PrintableText(key) + ":";
    if (!value.is_structured()) {
      text += space + label + " " + Scalar(value) + "\n";
    } else if (json.is_array() && value.is_object() && IsFlat(value)) {
      text += space + "- " + OneLine(value) + "\n";
    } else if (value.empty()) {
      text += space + label + " none\n";
    } else {
      text += space + label + "\n";
      Write(value, indent + 2, text);
    }
  }
}

}  // namespace

auto PrintableText(std::string_view text) -> std::string {
  std::string printable;
  while (true) {
    const auto end = text.find('\n');
    printable += PrintableLine(text.substr(0, end));
    if (end == std::string_view::npos) return printable;
    printable += '\n';
    text.remove_prefix(end + 1);
  }
}

auto ReadableText(std::string_view text) -> std::string {
  const auto json = Parse(text);
  std::string readable;
  if (json.is_structured()) {
    Write(json, 0, readable);
    return readable;
  }
  readable = PrintableText(text);
  if (!readable.empty() && readable.back() != '\n') readable += '\n';
  return readable;
}

auto JsonText(std::string_view text) -> std::string {
  const auto json = Parse(text);
  if (json.is_structured()) return Dump(json, 2) + "\n";
  return Dump(Json{{"text", std::string(text)}}, 2) + "\n";
}

}  // namespace heatherspan
