#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace heatherspan {

/// The path of a value in a document, for example service[2].target[0].zone. Empty parts are
/// omitted.
struct DocumentPath {
  std::string_view section = {};
  std::size_t index = 0;
  std::string_view child = {};
  std::size_t child_index = 0;
  std::string_view key = {};

  auto Text() const -> std::string;
};

}  // namespace heatherspan
