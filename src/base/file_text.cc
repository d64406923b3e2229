#include "base/file_text.h"

#include <fstream>
#include <iterator>

namespace heatherspan {

auto ReadFileText(const std::string& path) -> std::optional<std::string> {
  std::ifstream file(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (!file) return std::nullopt;
  return text;
}

}  // namespace heatherspan
