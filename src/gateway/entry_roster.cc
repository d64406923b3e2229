#include "gateway/entry_roster.h"

#include <algorithm>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// The largest number of VMs seen within this time counts for shared allowances: longer than it
/// takes to find out that a VM is gone.
constexpr Duration kCountMemory = std::chrono::seconds(20);
/// Callers whose zone has a single entry VM get one of another zone as well, to turn to at once
/// when theirs is lost.
constexpr std::size_t kLeastAddresses = 2;

}  // namespace

auto EntryRoster::Announce(const EntryVm& vm, MonotonicTime now) -> void {
  entries_[vm.name] = {vm, MonotonicTime::max()};
  LikelyCount(now);
}

auto EntryRoster::Withdraw(const NodeName& name, bool in_doubt, MonotonicTime now) -> void {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  if (in_doubt) {
    found->second.named_until = std::min(found->second.named_until, now + options_.doubt_time);
  } else {
    entries_.erase(found);
  }
}

auto EntryRoster::Expire(MonotonicTime now) -> void {
  absl::erase_if(entries_, [now](const auto& entry) { return entry.second.named_until <= now; });
}

auto EntryRoster::Live(MonotonicTime now) -> std::vector<EntryVm> {
  Expire(now);
  std::vector<EntryVm> vms;
  for (const auto& [name, entry] : entries_) vms.push_back(entry.vm);
  std::sort(vms.begin(), vms.end(),
            [](const EntryVm& a, const EntryVm& b) { return a.name < b.name; });
  return vms;
}

auto EntryRoster::LikelyCount(MonotonicTime now) -> int {
  Expire(now);
  const int count = std::max(1, static_cast<int>(entries_.size()));
  if (count >= recent_most_ || now - recent_since_ > kCountMemory) {
    recent_most_ = count;
    recent_since_ = now;
  }
  return recent_most_;
}

auto EntryRoster::Answer(const ZoneName& zone, const RegionName& region,
                         const std::vector<RegionName>& allowed_regions, MonotonicTime now)
    -> EntryAnswer {
  const auto vms = Live(now);
  EntryAnswer answer;
  answer.lifetime = options_.answer_lifetime;
  const auto add = [&](auto matches) {
    for (const auto& vm : vms) {
      if (answer.callers.size() < options_.max_addresses && matches(vm)) {
        answer.callers.push_back(vm.callers);
      }
    }
  };
  add([&](const EntryVm& vm) { return vm.zone == zone; });
  if (answer.callers.size() < kLeastAddresses) {
    add([&](const EntryVm& vm) { return vm.zone != zone && vm.region == region; });
  }
  if (!answer.callers.empty()) return answer;
  add([&](const EntryVm& vm) {
    return allowed_regions.empty() || std::find(allowed_regions.begin(), allowed_regions.end(),
                                                vm.region) != allowed_regions.end();
  });
  if (answer.callers.empty()) add([](const EntryVm&) { return true; });
  return answer;
}

auto IsColdFeeder(const std::vector<EntryVm>& vms, const NodeName& self, const TargetName& target,
                  const ZoneName& target_zone, int feeders) -> bool {
  const auto own =
      std::find_if(vms.begin(), vms.end(), [&](const EntryVm& vm) { return vm.name == self; });
  // A node that isn't announced can't know its rank.
  if (own == vms.end()) return false;
  const auto rank_of = [&](const EntryVm& vm) {
    return std::pair(vm.zone != target_zone,
                     -RendezvousScore(StableHash(target.value()), StableHash(vm.name.value())));
  };
  const auto own_rank = rank_of(*own);
  const auto before = std::count_if(vms.begin(), vms.end(),
                                    [&](const EntryVm& vm) { return rank_of(vm) < own_rank; });
  return before < feeders;
}

}  // namespace heatherspan
