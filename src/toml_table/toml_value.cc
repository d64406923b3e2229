#include "toml_table/toml_value.h"

#include "fmt/format.h"
#include "toml_table/printable_text.h"

namespace heatherspan {
namespace {

constexpr std::size_t kMaxDisplayBytes = 80;

struct DisplayTextVisitor {
  auto operator()(const TomlValue::Date&) const -> std::string { return "a date or time"; }
  auto operator()(bool value) const -> std::string { return value ? "true" : "false"; }
  auto operator()(std::int64_t value) const -> std::string { return fmt::format("{}", value); }
  auto operator()(double value) const -> std::string { return fmt::format("{}", value); }
  auto operator()(const std::string& value) const -> std::string {
    const auto shown = PrintableLine(value.substr(0, kMaxDisplayBytes));
    return fmt::format("\"{}{}\"", shown, value.size() > kMaxDisplayBytes ? "..." : "");
  }
  auto operator()(const TomlValue::Array& value) const -> std::string {
    return fmt::format("an array of {}", value.size());
  }
  auto operator()(const TomlValue::Table&) const -> std::string { return "a table"; }
};

}  // namespace

auto TomlValue::Find(std::string_view key) const -> const TomlValue* {
  const auto* table = std::get_if<Table>(&value);
  if (table == nullptr) return nullptr;
  for (const auto& entry : *table) {
    if (entry.key == key) return &entry.value;
  }
  return nullptr;
}

auto TomlValue::At(std::size_t index) const -> const TomlValue* {
  const auto* array = std::get_if<Array>(&value);
  return array == nullptr || index >= array->size() ? nullptr : &(*array)[index];
}

auto TomlValue::DisplayText() const -> std::string {
  return std::visit(DisplayTextVisitor{}, value);
}

}  // namespace heatherspan
