#include "toml_table/key_description.h"

#include "fmt/format.h"

namespace heatherspan {

auto MarkdownTable(const std::vector<KeyDescription>& keys) -> std::string {
  std::string text = "| key | value | default | meaning |\n| --- | --- | --- | --- |\n";
  for (const auto& key : keys) {
    text += fmt::format("| `{}` | {} | {} | {} |\n", key.name, key.expected, key.default_text,
                        key.meaning);
  }
  return text;
}

}  // namespace heatherspan
