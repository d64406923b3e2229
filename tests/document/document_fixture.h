#pragma once

#include <fstream>
#include <iterator>
#include <string>

#include "document/document_reader.h"

namespace heatherspan {

inline auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

inline auto ExampleText(const std::string& name) -> std::string {
  return ReadFile(std::string(HS_EXAMPLES_DIR) + "/" + name + ".toml");
}

inline auto Example(const std::string& name) -> Document {
  return ReadDocument(ExampleText(name), name + ".toml").value();
}

}  // namespace heatherspan
