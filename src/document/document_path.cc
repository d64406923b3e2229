#include "document/document_path.h"

#include "fmt/format.h"

namespace heatherspan {

auto DocumentPath::Text() const -> std::string {
  std::string text;
  if (!section.empty()) text += fmt::format("{}[{}]", section, index);
  if (!child.empty()) text += fmt::format(".{}[{}]", child, child_index);
  if (!key.empty()) text += fmt::format("{}{}", text.empty() ? "" : ".", key);
  return text;
}

}  // namespace heatherspan
