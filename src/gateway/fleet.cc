#include "gateway/fleet.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

Fleet::Fleet(Regions regions, Duration cold_after_evacuation)
    : regions_(std::move(regions)), cold_after_evacuation_(cold_after_evacuation) {}

auto Fleet::RegionOf(const ZoneName& zone) const -> RegionName {
  const auto found = regions_.find(zone);
  return found == regions_.end() ? RegionName() : found->second;
}

auto Fleet::IsLeaving(const RegisteredTarget& entry, MonotonicTime now) -> bool {
  const auto found = leaving_.find(entry.name);
  if (found == leaving_.end() || found->second.start_id != entry.start_id) return false;
  found->second.named_at = now;
  return true;
}

auto Fleet::RememberLeaving(const RegisteredTarget& entry, MonotonicTime now) -> void {
  absl::erase_if(leaving_, [now](const auto& leaving) {
    return now - leaving.second.named_at > kLeavingRetention;
  });
  leaving_[entry.name] = {entry.start_id, now};
}

auto Fleet::OnLeaving(const TargetName& name, MonotonicTime now) -> bool {
  auto* target = Find(name);
  if (target == nullptr) return false;
  RememberLeaving(target->entry(), now);
  if (target->entry().draining) return false;
  auto entry = target->entry();
  entry.draining = true;
  target->Update(std::move(entry), now);
  return true;
}

auto Fleet::Register(const RegisteredTarget& registered, MonotonicTime now) -> void {
  auto entry = registered;
  if (entry.draining) RememberLeaving(entry, now);
  entry.draining = entry.draining || IsLeaving(entry, now);
  auto& known = targets_[entry.name];
  if (known != nullptr && known->entry().service == entry.service &&
      known->entry().zone == entry.zone) {
    known->Update(entry, now);
    return;
  }
  if (known != nullptr) RemoveFromService(*known);
  known = std::make_unique<FleetTarget>(entry, RegionOf(entry.zone), has_traffic_, now);
  auto& list = by_service_[entry.service];
  const auto position = std::lower_bound(list.begin(), list.end(), entry.name,
                                         [](const FleetTarget* target, const TargetName& name) {
                                           return target->entry().name < name;
                                         });
  list.insert(position, known.get());
}

auto Fleet::Unregister(const TargetName& name) -> void {
  const auto found = targets_.find(name);
  if (found == targets_.end()) return;
  RemoveFromService(*found->second);
  targets_.erase(found);
}

auto Fleet::RemoveFromService(const FleetTarget& target) -> void {
  auto& list = by_service_[target.entry().service];
  list.erase(std::remove(list.begin(), list.end(), &target), list.end());
}

auto Fleet::SetEvacuated(const ZoneName& zone, bool evacuated, MonotonicTime now) -> void {
  if (evacuated) {
    evacuated_.insert(zone);
    return;
  }
  if (evacuated_.erase(zone) == 0) return;
  for (const auto& [name, target] : targets_) {
    if (target->entry().zone == zone) target->SetColdUntil(now + cold_after_evacuation_);
  }
}

auto Fleet::Find(const TargetName& name) -> FleetTarget* {
  const auto found = targets_.find(name);
  return found == targets_.end() ? nullptr : found->second.get();
}

auto Fleet::TargetsOf(const ServiceName& service) const -> const std::vector<FleetTarget*>& {
  static const std::vector<FleetTarget*> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

auto Fleet::MayUse(const FleetTarget& target) const -> bool {
  return !target.entry().draining && !evacuated_.contains(target.entry().zone);
}

}  // namespace heatherspan
