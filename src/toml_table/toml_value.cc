#include "toml_table/toml_value.h"

#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr std::size_t kShownCharacters = 80;

struct Shower {
  auto operator()(const TomlValue::Date&) const -> std::string { return "a date or time"; }
  auto operator()(bool value) const -> std::string { return value ? "true" : "false"; }
  auto operator()(std::int64_t value) const -> std::string { return fmt::format("{}", value); }
  auto operator()(double value) const -> std::string { return fmt::format("{}", value); }
  auto operator()(const std::string& value) const -> std::string {
    std::string shown;
    for (const char c : value.substr(0, kShownCharacters)) {
      // Control characters would break the line or drive the terminal.
      shown += static_cast<unsigned char>(c) < 0x20 || c == 0x7f ? '?' : c;
    }
    return fmt::format("\"{}{}\"", shown, value.size() > kShownCharacters ? "..." : "");
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

auto TomlValue::Shown() const -> std::string { return std::visit(Shower{}, value); }

}  // namespace heatherspan
