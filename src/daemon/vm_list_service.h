#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "absl/status/status.h"
#include "base/ids.h"
#include "base/time.h"
#include "platform/vm_entry.h"
#include "platform/vm_list_client.h"

namespace heatherspan {

/// Reads the platform's list of VMs and reports its entry VMs and leaving targets. The list is
/// delayed, so a target stays drained until the list shows it as live again.
class VmListService {
 public:
  struct Callbacks {
    std::function<void(const std::vector<VmEntry>& vms)> entry_vms_listed;
    std::function<void(const TargetName& target, bool leaving)> target_state_changed;
    std::function<void(const absl::Status& status)> fetch_failed;
  };

  VmListService(PlatformCaller& platform, Callbacks callbacks)
      : client_(platform), callbacks_(std::move(callbacks)) {}

  /// Blocks, so only control workers may call it.
  auto Poll() -> void;

  /// Seconds since the last list was received; -1 before the first list.
  auto AgeSeconds(MonotonicTime now) const -> double;

 private:
  auto ReportTargets(const std::vector<VmEntry>& vms) -> void;

  VmListClient client_;
  Callbacks callbacks_;
  SystemClock clock_;
  std::map<TargetName, bool> target_leaving_;  ///< Used only by Poll.
  mutable std::mutex mutex_;  ///< Leaf lock: no other lock is acquired while it is held.
  std::optional<MonotonicTime> last_answer_time_;
};

}  // namespace heatherspan
