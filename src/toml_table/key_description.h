#pragma once

#include <string>
#include <vector>

namespace heatherspan {

/// The documentation of one key.
struct KeyDescription {
  std::string name;
  std::string expected;      ///< Type, unit and range of the values.
  std::string default_text;  ///< "required" for a key without default.
  std::string meaning;
};

/// Returns a Markdown table with one row for each key.
auto MarkdownTable(const std::vector<KeyDescription>& keys) -> std::string;

}  // namespace heatherspan
