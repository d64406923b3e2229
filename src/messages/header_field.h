#pragma once

#include <string>

namespace heatherspan {

/// A field of an HTTP header.
struct HeaderField {
  std::string name;
  std::string value;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(name, value);
  }
};

}  // namespace heatherspan
