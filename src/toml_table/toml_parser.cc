#include "toml_table/toml_parser.h"

#include <toml++/toml.h>

#include "toml_table/nesting_check.h"

namespace heatherspan {
namespace {

auto Position(const toml::source_position& position) -> TomlPosition {
  return {static_cast<int>(position.line), static_cast<int>(position.column)};
}

auto Convert(const toml::node& node) -> TomlValue;

auto ConvertArray(const toml::array& source) -> TomlValue::Array {
  TomlValue::Array array;
  array.reserve(source.size());
  for (const auto& node : source) array.push_back(Convert(node));
  return array;
}

auto ConvertTable(const toml::table& source) -> TomlValue::Table {
  TomlValue::Table table;
  table.reserve(source.size());
  for (const auto& [key, node] : source) {
    table.push_back({std::string(key.str()), Position(key.source().begin), Convert(node)});
  }
  return table;
}

auto Convert(const toml::node& node) -> TomlValue {
  TomlValue value;
  value.position = Position(node.source().begin);
  if (const auto* table = node.as_table()) {
    value.value = ConvertTable(*table);
  } else if (const auto* array = node.as_array()) {
    value.value = ConvertArray(*array);
  } else if (const auto* text = node.as_string()) {
    value.value = text->get();
  } else if (const auto* integer = node.as_integer()) {
    value.value = integer->get();
  } else if (const auto* number = node.as_floating_point()) {
    value.value = number->get();
  } else if (const auto* boolean = node.as_boolean()) {
    value.value = boolean->get();
  }
  return value;
}

}  // namespace

auto ParseToml(std::string_view text, const std::string& file, TomlErrors& errors) -> TomlValue {
  TomlValue empty;
  empty.value = TomlValue::Table();
  if (const auto position = FindDeepNesting(text); position.has_value()) {
    errors.Add(*position, "nesting exceeds 16 open brackets or 16 dots in a key");
    return empty;
  }
  try {
    const toml::table table = toml::parse(text, file);
    return Convert(table);
  } catch (const toml::parse_error& error) {
    errors.Add(Position(error.source().begin), std::string(error.description()));
    return empty;
  }
}

}  // namespace heatherspan
