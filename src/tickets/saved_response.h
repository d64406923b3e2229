#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace heatherspan {

/// A target's response, saved for duplicates of the request.
struct SavedResponse {
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  /// The memory use that counts against the limits of the ticket table.
  auto Size() const -> std::size_t;
};

}  // namespace heatherspan
