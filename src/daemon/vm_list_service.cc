#include "daemon/vm_list_service.h"

#include <chrono>

namespace heatherspan {

auto VmListService::Poll() -> void {
  const auto vms = client_.Fetch();
  if (!vms.ok()) return events_.failed(vms.status());
  std::vector<VmEntry> entry_vms;
  for (const auto& vm : *vms) {
    if (vm.role == VmEntry::Role::kEntry) entry_vms.push_back(vm);
  }
  events_.entry_vms(entry_vms);
  ReportTargets(*vms);
  const std::lock_guard lock(mutex_);
  last_ = clock_.Now();
}

auto VmListService::ReportTargets(const std::vector<VmEntry>& vms) -> void {
  for (const auto& vm : vms) {
    if (vm.role != VmEntry::Role::kTarget) continue;
    const TargetName name(vm.name);
    const bool leaving = vm.state == VmEntry::State::kLeaving;
    auto& known = leaving_[name];
    if (known == leaving) continue;
    known = leaving;
    events_.target(name, leaving);
  }
}

auto VmListService::AgeSeconds(MonotonicTime now) const -> double {
  const std::lock_guard lock(mutex_);
  if (!last_.has_value()) return -1;
  return std::chrono::duration<double>(now - *last_).count();
}

}  // namespace heatherspan
