#include "admission/target_pool.h"

#include <algorithm>
#include <random>
#include <utility>

namespace heatherspan {
namespace {

/// Draws two targets at random and returns the better one.
auto ChooseBetterOfTwo(const std::vector<TargetState*>& candidates, MonotonicTime now,
                       Random& random) -> TargetState& {
  if (candidates.size() == 1) return *candidates.front();
  const auto first = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random);
  auto second = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 2)(random);
  if (second >= first) ++second;
  const bool second_is_better = candidates[second]->IsBetterThan(*candidates[first], now);
  return *candidates[second_is_better ? second : first];
}

}  // namespace

TargetPool::TargetPool(TargetPoolOptions options) : options_(options) {}

auto TargetPool::Configure(const std::vector<OwnedTargets>& services) -> void {
  for (auto& [name, targets] : services_) {
    for (auto& state : targets) state->SetRemoved();
  }
  for (const auto& service : services) ConfigureService(service);
  for (auto it = services_.begin(); it != services_.end();) {
    EraseIdleRemoved(it->second);
    if (it->second.empty()) {
      services_.erase(it++);
    } else {
      ++it;
    }
  }
}

auto TargetPool::ConfigureService(const OwnedTargets& service) -> void {
  auto& targets = services_[service.service];
  for (const auto& target : service.targets) {
    if (auto* state = Find(service.service, target.name); state != nullptr) {
      state->Reconfigure(target, service.slots_per_target);
      continue;
    }
    auto state = std::make_unique<TargetState>(target, service.slots_per_target, options_);
    const bool draining =
        std::find(draining_.begin(), draining_.end(), target.name) != draining_.end();
    state->SetDraining(draining);
    targets.push_back(std::move(state));
  }
}

auto TargetPool::Acquire(const ServiceName& service, MonotonicTime now, Random& random)
    -> std::variant<TargetSlot, Reason> {
  const auto found = services_.find(service);
  if (found == services_.end()) return Reason::kNoTarget;
  candidates_.clear();
  bool any = false;
  bool any_not_draining = false;
  for (const auto& state : found->second) {
    if (state->removed()) continue;
    any = true;
    if (state->IsDraining()) continue;
    any_not_draining = true;
    if (state->IsEjected(now) || state->IsPaused(now) || !state->HasFreeSlot(now)) continue;
    candidates_.push_back(state.get());
  }
  if (!any) return Reason::kNoTarget;
  if (!any_not_draining) return Reason::kDrained;
  if (candidates_.empty()) return Reason::kTargetBusy;
  auto& chosen = ChooseBetterOfTwo(candidates_, now, random);
  const TargetSlot slot{service, chosen.target(), next_sequence_++, now};
  chosen.BeginRequest(slot.sequence, now);
  return slot;
}

auto TargetPool::Release(const TargetSlot& slot, const TargetResult& result, MonotonicTime now)
    -> void {
  auto* state = Find(slot.service, slot.target->name);
  if (state == nullptr || !state->FinishRequest(slot.sequence)) return;
  auto& targets = services_.find(slot.service)->second;
  if (state->OnResult(result, now)) EjectIfAllowed(targets, *state, now);
  if (state->removed()) EraseIdleRemoved(targets);
}

auto TargetPool::OnReport(const TargetReport& report, MonotonicTime now) -> void {
  for (const auto& [name, targets] : services_) {
    for (const auto& state : targets) {
      if (state->target()->name == report.target) state->OnReport(report, now);
    }
  }
}

auto TargetPool::SetDraining(const TargetName& target, bool draining) -> void {
  std::erase(draining_, target);
  if (draining) draining_.push_back(target);
  for (const auto& [name, targets] : services_) {
    for (const auto& state : targets) {
      if (state->target()->name == target) state->SetDraining(draining);
    }
  }
}

auto TargetPool::ProbeCandidates(MonotonicTime now) -> std::vector<std::shared_ptr<const Target>> {
  std::vector<std::shared_ptr<const Target>> due;
  for (const auto& [name, targets] : services_) {
    for (const auto& state : targets) {
      if (!state->IsProbeDue(now)) continue;
      state->MarkProbed(now);
      due.push_back(state->target());
    }
  }
  return due;
}

auto TargetPool::OnProbe(const TargetName& target, bool healthy, MonotonicTime now) -> void {
  for (const auto& [name, targets] : services_) {
    for (const auto& state : targets) {
      if (state->target()->name != target) continue;
      if (state->OnProbe(healthy, now)) EjectIfAllowed(targets, *state, now);
    }
  }
}

auto TargetPool::Load(const ServiceName& service, MonotonicTime now) const -> ServiceLoad {
  ServiceLoad load;
  load.service = service;
  const auto found = services_.find(service);
  if (found == services_.end()) return load;
  for (const auto& state : found->second) {
    if (state->removed() || state->IsDraining() || state->IsEjected(now)) continue;
    if (state->IsFailing()) continue;
    load.usable_slots += static_cast<std::uint32_t>(state->SlotLimit(now));
    load.used_slots += static_cast<std::uint32_t>(state->in_flight());
  }
  return load;
}

auto TargetPool::Latency(const ServiceName& service) const -> std::optional<Duration> {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  Duration sum{};
  int count = 0;
  for (const auto& state : found->second) {
    if (state->latency() == Duration::zero()) continue;
    sum += state->latency();
    ++count;
  }
  if (count == 0) return std::nullopt;
  return sum / count;
}

auto TargetPool::InFlight() const -> int {
  int sum = 0;
  for (const auto& [name, targets] : services_) {
    for (const auto& state : targets) sum += state->in_flight();
  }
  return sum;
}

auto TargetPool::InFlight(const TargetName& target) const -> int {
  int sum = 0;
  for (const auto& [name, targets] : services_) {
    for (const auto& state : targets) {
      if (state->target()->name == target) sum += state->in_flight();
    }
  }
  return sum;
}

auto TargetPool::Find(const ServiceName& service, const TargetName& target) -> TargetState* {
  const auto found = services_.find(service);
  if (found == services_.end()) return nullptr;
  for (const auto& state : found->second) {
    if (state->target()->name == target) return state.get();
  }
  return nullptr;
}

auto TargetPool::EjectIfAllowed(const Targets& targets, TargetState& state, MonotonicTime now)
    -> void {
  if (state.IsEjected(now)) return;
  int configured = 0;
  int ejected = 0;
  for (const auto& other : targets) {
    if (other->removed() || other->IsDraining()) continue;
    ++configured;
    ejected += other->IsEjected(now) ? 1 : 0;
  }
  // If more than half of the targets seem to have failed, the observation itself may be wrong.
  if ((ejected + 1) * 2 <= configured) {
    state.Eject(now);
  } else {
    state.PauseFailing(now);
  }
}

auto TargetPool::EraseIdleRemoved(Targets& targets) -> void {
  std::erase_if(targets,
                [](const auto& state) { return state->removed() && state->in_flight() == 0; });
}

}  // namespace heatherspan
