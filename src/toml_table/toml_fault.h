#pragma once

#include <string>
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

  auto Add(TomlPosition position, std::string message) -> void {
    faults_.push_back({file_, position, std::move(message)});
  }
  auto faults() const -> const std::vector<TomlFault>& { return faults_; }
  /// Orders the faults by their place in the text.
  auto Sort() -> void;

 private:
  std::string file_;
  std::vector<TomlFault> faults_;
};

/// OK without faults; otherwise an error with one line for each fault.
auto FaultStatus(const std::vector<TomlFault>& faults) -> absl::Status;

}  // namespace heatherspan
