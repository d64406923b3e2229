#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "toml_table/toml_position.h"

namespace heatherspan {

/// One fault of a text, with its place.
struct TomlFault {
  std::string file;
  TomlPosition position;
  std::string message;

  /// FILE:LINE:COL: message.
  auto Text() const -> std::string;
};

/// Collects the faults of one file.
class TomlFaults {
 public:
  explicit TomlFaults(std::string file) : file_(std::move(file)) {}

  /// Values in the message come from the text; what is not printable in them is replaced.
  auto Add(TomlPosition position, std::string_view message) -> void;
  auto faults() const -> const std::vector<TomlFault>& { return faults_; }
  /// Orders the faults by their place in the text.
  auto Sort() -> void;

 private:
  std::string file_;
  std::vector<TomlFault> faults_;
};

inline constexpr std::size_t kMaxFaultLines = 100;

/// OK without faults; otherwise an error with one line for each fault, at most kMaxFaultLines: a
/// wrong zone name may occur in 110,000 client blocks.
auto FaultStatus(const std::vector<TomlFault>& faults) -> absl::Status;

}  // namespace heatherspan
