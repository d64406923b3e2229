#include "steering/target_owners.h"

#include <algorithm>
#include <cstdint>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// The best alive or suspected node of the zone by rendezvous hashing, except `excluded`.
auto BestNode(const SteeringView& view, const SteeringZone& zone, std::uint64_t key,
              std::optional<InstanceId> excluded) -> std::optional<InstanceId> {
  std::optional<InstanceId> best;
  std::uint64_t best_score = 0;
  // Suspected nodes keep their targets until they are dead, since most refute the suspicion.
  for (const auto* list : {&zone.alive, &zone.suspected}) {
    for (const auto index : *list) {
      const auto instance = view.nodes()[index].instance;
      const auto score = CombineHash(key, instance.value());
      if (instance == excluded || (best.has_value() && score <= best_score)) continue;
      best = instance;
      best_score = score;
    }
  }
  return best;
}

auto ChooseOwner(const SteeringView& view, const Target& target,
                 std::optional<InstanceId> excluded = std::nullopt) -> std::optional<InstanceId> {
  const auto index = view.FindZone(target.zone);
  if (!index.has_value()) return std::nullopt;
  const auto key = StableHash(target.name.value());
  const auto& target_zone = view.zones()[*index];
  if (const auto owner = BestNode(view, target_zone, key, excluded); owner.has_value())
    return owner;
  std::optional<InstanceId> substitute;
  std::uint64_t best_score = 0;
  for (const auto other : view.regions()[target_zone.region].zones) {
    const auto& zone = view.zones()[other];
    const auto owner = BestNode(view, zone, key, excluded);
    const auto score = CombineHash(target_zone.hash, zone.hash);
    if (!owner.has_value() || (substitute.has_value() && score <= best_score)) continue;
    substitute = owner;
    best_score = score;
  }
  return substitute;
}

/// Whether the instance may remain the owner of targets.
auto CanOwn(const SteeringView& view, InstanceId instance) -> bool {
  const auto* node = view.FindNode(instance);
  return node != nullptr && node->state != MemberState::kLeaving;
}

}  // namespace

TargetOwners::TargetOwners(InstanceId self) : self_(self) {}

auto TargetOwners::Update(const SteeringView& view, MonotonicTime now) -> void {
  for (auto& [name, ownership] : targets_) ownership.in_view = false;
  for (const auto& service : view.services()) {
    for (const auto& zone : service.targets) {
      for (const auto* target : zone) UpdateTarget(view, *target, service.service->name, now);
    }
  }
  absl::erase_if(targets_, [](const auto& item) { return !item.second.in_view; });
  IndexGroups();
  is_first_update_ = false;
}

auto TargetOwners::IndexGroups() -> void {
  groups_.clear();
  for (const auto& [name, ownership] : targets_) {
    groups_[{ownership.service, ownership.target.zone}].push_back(&ownership);
  }
}

auto TargetOwners::UpdateTarget(const SteeringView& view, const Target& target,
                                const ServiceName& service, MonotonicTime now) -> void {
  const auto owner = ChooseOwner(view, target);
  const auto found = targets_.find(target.name);
  if (found == targets_.end()) {
    auto ownership = InitialOwnership(view, target, owner, now);
    ownership.service = service;
    targets_.emplace(target.name, std::move(ownership));
    return;
  }
  auto& ownership = found->second;
  ownership.target = target;
  ownership.service = service;
  ownership.in_view = true;
  if (ownership.next.has_value() && now >= ownership.next_from) {
    ownership.current = ownership.next;
    ownership.next.reset();
  }
  const bool keeps_owner =
      owner.has_value() && ownership.current.has_value() && CanOwn(view, *ownership.current);
  if (!keeps_owner || owner == ownership.current) {
    ownership.current = owner;
    ownership.next.reset();
  } else if (ownership.next != owner) {
    ownership.next = owner;
    ownership.next_from = now + kHandoverDelay;
  }
}

auto TargetOwners::InitialOwnership(const SteeringView& view, const Target& target,
                                    std::optional<InstanceId> owner, MonotonicTime now) const
    -> Ownership {
  Ownership ownership;
  ownership.target = target;
  ownership.in_view = true;
  ownership.current = owner;
  // A target that a document adds has no previous owner that must see the change first.
  if (owner != self_ || !is_first_update_) return ownership;
  // A node that joins takes the target over from the previous owner.
  const auto before = ChooseOwner(view, target, self_);
  if (!before.has_value()) return ownership;
  ownership.current = before;
  ownership.next = self_;
  ownership.next_from = now + kHandoverDelay;
  return ownership;
}

auto TargetOwners::OwnerAt(const Ownership& ownership, MonotonicTime now)
    -> std::optional<InstanceId> {
  const bool changed = ownership.next.has_value() && now >= ownership.next_from;
  return changed ? ownership.next : ownership.current;
}

auto TargetOwners::Owner(const TargetName& target, MonotonicTime now) const
    -> std::optional<InstanceId> {
  const auto found = targets_.find(target);
  return found == targets_.end() ? std::nullopt : OwnerAt(found->second, now);
}

auto TargetOwners::OwnersIn(const ServiceName& service, const ZoneName& zone,
                            MonotonicTime now) const -> std::vector<OwnerCount> {
  std::vector<OwnerCount> counts;
  const auto group = groups_.find({service, zone});
  if (group == groups_.end()) return counts;
  for (const auto* ownership : group->second) {
    const auto owner = OwnerAt(*ownership, now);
    if (!owner.has_value()) continue;
    const auto found = std::find_if(counts.begin(), counts.end(),
                                    [&](const OwnerCount& count) { return count.owner == *owner; });
    if (found == counts.end()) {
      counts.push_back({*owner, 1});
    } else {
      ++found->targets;
    }
  }
  std::sort(counts.begin(), counts.end(),
            [](const OwnerCount& a, const OwnerCount& b) { return a.owner < b.owner; });
  return counts;
}

auto TargetOwners::OwnedTargets(const ServiceName& service, MonotonicTime now) const
    -> std::vector<Target> {
  std::vector<Target> owned;
  for (const auto& [name, ownership] : targets_) {
    if (ownership.service == service && OwnerAt(ownership, now) == self_) {
      owned.push_back(ownership.target);
    }
  }
  std::sort(owned.begin(), owned.end(),
            [](const Target& a, const Target& b) { return a.name < b.name; });
  return owned;
}

auto TargetOwners::NextChange(MonotonicTime now) const -> std::optional<MonotonicTime> {
  std::optional<MonotonicTime> first;
  for (const auto& [name, ownership] : targets_) {
    if (!ownership.next.has_value() || ownership.next_from <= now) continue;
    if (!first.has_value() || ownership.next_from < *first) first = ownership.next_from;
  }
  return first;
}

}  // namespace heatherspan
