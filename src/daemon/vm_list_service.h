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

/// Reads the platform's list of VMs and tells what it says of entry VMs and leaving targets. The
/// list lags, so that a target stays drained until the list says that it is live again.
class VmListService {
 public:
  struct Callbacks {
    std::function<void(const std::vector<VmEntry>& vms)> entry_vms_listed;
    std::function<void(const TargetName& target, bool leaving)> target_state_changed;
    std::function<void(const absl::Status& status)> fetch_failed;
  };

  VmListService(PlatformCaller& platform, Callbacks callbacks)
      : client_(platform), callbacks_(std::move(callbacks)) {}

  /// Blocks; called by a control worker.
  auto Poll() -> void;

  /// Seconds since the last list; -1 before the first.
  auto AgeSeconds(MonotonicTime now) const -> double;

 private:
  auto ReportTargets(const std::vector<VmEntry>& vms) -> void;

  VmListClient client_;
  Callbacks callbacks_;
  SystemClock clock_;
  std::map<TargetName, bool> target_leaving_;  ///< Only Poll uses it.
  mutable std::mutex mutex_;                   ///< A leaf: no other lock is taken while it is held.
  std::optional<MonotonicTime> last_answer_time_;
};

}  // namespace heatherspan
