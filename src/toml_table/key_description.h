#pragma once

#include <string>
#include <vector>

namespace heatherspan {

/// What the documentation says about one key.
struct KeyDescription {
  std::string name;
  std::string expected;      ///< Kind, unit and range of its values.
  std::string default_text;  ///< "required" for a key without default.
  std::string meaning;
};

/// A Markdown table with one row for each key.
auto MarkdownTable(const std::vector<KeyDescription>& keys) -> std::string;

}  // namespace heatherspan
