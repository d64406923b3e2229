#include "toml_table/toml_fault.h"

#include <algorithm>
#include <tuple>

#include "fmt/format.h"

namespace heatherspan {

auto TomlFault::Text() const -> std::string {
  return fmt::format("{}:{}:{}: {}", file, position.line, position.column, message);
}

auto TomlFaults::Sort() -> void {
  std::stable_sort(faults_.begin(), faults_.end(), [](const TomlFault& a, const TomlFault& b) {
    return std::tie(a.position.line, a.position.column) <
           std::tie(b.position.line, b.position.column);
  });
}

auto FaultStatus(const std::vector<TomlFault>& faults) -> absl::Status {
  if (faults.empty()) return absl::OkStatus();
  std::string text;
  for (const auto& fault : faults) {
    if (!text.empty()) text += '\n';
    text += fault.Text();
  }
  return absl::InvalidArgumentError(text);
}

}  // namespace heatherspan
