#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "toml_table/toml_position.h"

namespace heatherspan {

struct TomlEntry;

/// A value of a TOML text with its position.
struct TomlValue {
  using Array = std::vector<TomlValue>;
  using Table = std::vector<TomlEntry>;
  struct Date {};  ///< Dates and times, which no key accepts.

  TomlPosition position;
  std::variant<Date, bool, std::int64_t, double, std::string, Array, Table> value;

  /// Returns the value of a key of a table; null when this value is not a table or lacks the key.
  auto Find(std::string_view key) const -> const TomlValue*;
  /// Returns an element of an array; null when this value is not an array or the index is too
  /// large.
  auto At(std::size_t index) const -> const TomlValue*;
  /// Returns the value for error messages; long strings are truncated.
  auto DisplayText() const -> std::string;
};

/// A key of a table with its value.
struct TomlEntry {
  std::string key;
  TomlPosition key_position;
  TomlValue value;
};

}  // namespace heatherspan
