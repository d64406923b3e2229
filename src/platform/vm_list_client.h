#pragma once

#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "platform/vm_entry.h"

namespace heatherspan {

class PlatformCaller;

/// Reads the platform's list of live and leaving VMs. Thread-safe; calls block and must not be made
/// on a worker.
class VmListClient {
 public:
  explicit VmListClient(PlatformCaller& caller) : caller_(caller) {}

  auto Fetch() -> absl::StatusOr<std::vector<VmEntry>>;
  /// Reads the JSON text of an answer; an unknown role or state is an error.
  static auto Parse(std::string_view json_text) -> absl::StatusOr<std::vector<VmEntry>>;

 private:
  PlatformCaller& caller_;
};

}  // namespace heatherspan
