#include "toml_table/toml_fault.h"

#include <algorithm>
#include <tuple>

#include "fmt/format.h"
#include "toml_table/printable_text.h"

namespace heatherspan {

auto TomlFault::Text() const -> std::string {
  return fmt::format("{}:{}:{}: {}", file, position.line, position.column, message);
}

auto TomlFaults::Add(TomlPosition position, std::string_view message) -> void {
  faults_.push_back({file_, position, PrintableLine(message)});
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
  const auto shown = std::min(faults.size(), kMaxFaultLines);
  for (std::size_t i = 0; i < shown; ++i) text += (i == 0 ? "" : "\n") + faults[i].Text();
  if (shown < faults.size()) text += fmt::format("\nand {} more faults", faults.size() - shown);
  return absl::InvalidArgumentError(text);
}

}  // namespace heatherspan
