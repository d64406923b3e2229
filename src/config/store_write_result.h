#pragma once

#include <cstdint>

#include "absl/status/status.h"

namespace heatherspan {

/// What is known of a write to the store.
enum class WriteEffect {
  kTookEffect,
  kConflict,  ///< The key had another revision; nothing was written.
  kNoEffect,  ///< The store refused or was not reached; nothing was written.
  kUnknown,   ///< The answer was lost; the write may have taken effect.
};

/// The result of a conditional write.
struct StoreWriteResult {
  WriteEffect effect = WriteEffect::kUnknown;
  std::uint64_t revision = 0;  ///< Of the new value, or in a conflict of the present one.
  absl::Status status;
};

}  // namespace heatherspan
