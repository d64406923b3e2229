#pragma once

#include <string>

namespace heatherspan {

/// A part of a canonical text.
struct Chunk {
  std::string hash;  ///< SHA-256 of the bytes in hexadecimal digits.
  std::string bytes;

  friend auto operator==(const Chunk&, const Chunk&) -> bool = default;
};

}  // namespace heatherspan
