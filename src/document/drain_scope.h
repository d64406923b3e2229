#pragma once

namespace heatherspan {

/// What a drain takes out of service.
enum class DrainScope { kTarget, kEntryVm, kZone, kRegion };

}  // namespace heatherspan
