#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "toml_table/toml_position.h"

namespace heatherspan {

/// One fault of a text, with its place.
struct TomlError {
  std::string file;
  TomlPosition position;
  std::string message;

  /// FILE:LINE:COL: message.
  auto Text() const -> std::string;
};

/// Collects the errors of one file.
class TomlErrors {
 public:
  explicit TomlErrors(std::string file) : file_(std::move(file)) {}

  /// Values in the message come from the text; what is not printable in them is replaced.
  auto Add(TomlPosition position, std::string_view message) -> void;
  auto errors() const -> const std::vector<TomlError>& { return errors_; }
  /// Orders the errors by their place in the text.
  auto Sort() -> void;

 private:
  std::string file_;
  std::vector<TomlError> errors_;
};

inline constexpr std::size_t kMaxErrorLines = 100;

/// OK without errors; otherwise an error with one line for each error, at most kMaxErrorLines: a
/// wrong zone name may occur in 110,000 client blocks.
auto ErrorStatus(const std::vector<TomlError>& errors) -> absl::Status;

}  // namespace heatherspan
