#pragma once

#include <optional>
#include <string>

namespace heatherspan {

/// The whole text of a file; empty if it can't be read.
auto ReadFileText(const std::string& path) -> std::optional<std::string>;

}  // namespace heatherspan
