#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "toml_table/toml_position.h"

namespace heatherspan {

/// An error in a TOML text, with its position.
struct TomlError {
  std::string file;
  TomlPosition position;
  std::string message;

  /// Returns FILE:LINE:COL: message.
  auto Text() const -> std::string;
};

/// Collects the errors of one file.
class TomlErrors {
 public:
  explicit TomlErrors(std::string file) : file_(std::move(file)) {}

  /// Replaces unprintable characters in the message, as it may quote values from the text.
  auto Add(TomlPosition position, std::string_view message) -> void;
  auto errors() const -> const std::vector<TomlError>& { return errors_; }
  /// Sorts the errors by their position in the text.
  auto Sort() -> void;

 private:
  std::string file_;
  std::vector<TomlError> errors_;
};

inline constexpr std::size_t kMaxErrorLines = 100;

/// Returns OK without errors, otherwise a status with one line for each error. The number of lines
/// is limited to kMaxErrorLines, since a wrong zone name may occur in 110,000 client blocks.
auto ErrorStatus(const std::vector<TomlError>& errors) -> absl::Status;

}  // namespace heatherspan
