#include "daemon/vm_list_service.h"

#include <chrono>

namespace heatherspan {

auto VmListService::Poll() -> void {
  const auto vms = client_.Fetch();
  if (!vms.ok()) return callbacks_.fetch_failed(vms.status());
  std::vector<VmEntry> entry_vms;
  for (const auto& vm : *vms) {
    if (vm.role == VmEntry::Role::kEntry) entry_vms.push_back(vm);
  }
  callbacks_.entry_vms_listed(entry_vms);
  ReportTargets(*vms);
  const std::lock_guard lock(mutex_);
  last_answer_time_ = clock_.Now();
}

auto VmListService::ReportTargets(const std::vector<VmEntry>& vms) -> void {
  for (const auto& vm : vms) {
    if (vm.role != VmEntry::Role::kTarget) continue;
    const TargetName name(vm.name);
    const bool leaving = vm.state == VmEntry::State::kLeaving;
    auto& known = target_leaving_[name];
    if (known == leaving) continue;
    known = leaving;
    callbacks_.target_state_changed(name, leaving);
  }
}

auto VmListService::AgeSeconds(MonotonicTime now) const -> double {
  const std::lock_guard lock(mutex_);
  if (!last_answer_time_.has_value()) return -1;
  return std::chrono::duration<double>(now - *last_answer_time_).count();
}

}  // namespace heatherspan
