#pragma once

namespace heatherspan {

/// A position in a text; lines and columns start at one.
struct TomlPosition {
  int line = 1;
  int column = 1;

  friend auto operator==(const TomlPosition&, const TomlPosition&) -> bool = default;
};

}  // namespace heatherspan
