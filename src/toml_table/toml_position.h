#pragma once

namespace heatherspan {

/// A place in a text; lines and columns count from one.
struct TomlPosition {
  int line = 1;
  int column = 1;

  friend auto operator==(const TomlPosition&, const TomlPosition&) -> bool = default;
};

}  // namespace heatherspan
