#pragma once

#include <cstdint>
#include <string>

namespace heatherspan {

/// A value in the store with the revision of its last write.
struct StoredValue {
  std::string value;
  std::uint64_t revision = 0;
};

}  // namespace heatherspan
