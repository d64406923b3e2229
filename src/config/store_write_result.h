#pragma once

#include <cstdint>

#include "absl/status/status.h"

namespace heatherspan {

/// The known effect of a write to the store.
enum class WriteEffect {
  kTookEffect,
  kConflict,  ///< The key had another revision. Nothing was written.
  kNoEffect,  ///< The store refused or was not reached. Nothing was written.
  kUnknown,   ///< The response was lost. The write may have taken effect.
};

/// The result of a conditional write.
struct StoreWriteResult {
  WriteEffect effect = WriteEffect::kUnknown;
  std::uint64_t revision = 0;  ///< Of the new value; of the current value after a conflict.
  absl::Status status;
};

}  // namespace heatherspan
