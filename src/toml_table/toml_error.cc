#include "toml_table/toml_error.h"

#include <algorithm>
#include <tuple>

#include "fmt/format.h"
#include "toml_table/printable_text.h"

namespace heatherspan {

auto TomlError::Text() const -> std::string {
  return fmt::format("{}:{}:{}: {}", file, position.line, position.column, message);
}

auto TomlErrors::Add(TomlPosition position, std::string_view message) -> void {
  errors_.push_back({file_, position, PrintableLine(message)});
}

auto TomlErrors::Sort() -> void {
  std::stable_sort(errors_.begin(), errors_.end(), [](const TomlError& a, const TomlError& b) {
    return std::tie(a.position.line, a.position.column) <
           std::tie(b.position.line, b.position.column);
  });
}

auto ErrorStatus(const std::vector<TomlError>& errors) -> absl::Status {
  if (errors.empty()) return absl::OkStatus();
  std::string text;
  const auto shown = std::min(errors.size(), kMaxErrorLines);
  for (std::size_t i = 0; i < shown; ++i) text += (i == 0 ? "" : "\n") + errors[i].Text();
  if (shown < errors.size()) text += fmt::format("\nand {} more errors", errors.size() - shown);
  return absl::InvalidArgumentError(text);
}

}  // namespace heatherspan
