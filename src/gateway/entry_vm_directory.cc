#include "gateway/entry_vm_directory.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// The largest number of entry VMs within this time divides shared allowances. It is longer than
/// the detection of a lost VM takes.
constexpr Duration kCountRetention = std::chrono::seconds(20);
/// Callers in a zone with a single entry VM also get the entry VMs of the region's other zones, so
/// that they can switch at once when theirs is lost.
constexpr std::size_t kMinAddresses = 2;
/// Callers keep an answer for seconds, in which two VMs may be lost.
constexpr std::size_t kMinDrawn = 3;

}  // namespace

auto EntryVmDirectory::Announce(const EntryVm& vm, MonotonicTime now) -> void {
  entries_[vm.name] = {vm, MonotonicTime::max()};
  sorted_is_current_ = false;
  RecentMaxCount(now);
}

auto EntryVmDirectory::Withdraw(const NodeName& name, bool unconfirmed, MonotonicTime now) -> void {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  if (unconfirmed) {
    found->second.listed_until =
        std::min(found->second.listed_until, now + options_.unconfirmed_removal_grace);
    next_expiry_ = std::min(next_expiry_, found->second.listed_until);
  } else {
    entries_.erase(found);
    sorted_is_current_ = false;
  }
}

auto EntryVmDirectory::Expire(MonotonicTime now) -> void {
  if (now < next_expiry_) return;
  next_expiry_ = MonotonicTime::max();
  absl::erase_if(entries_, [now](const auto& entry) { return entry.second.listed_until <= now; });
  for (const auto& [name, entry] : entries_) {
    next_expiry_ = std::min(next_expiry_, entry.listed_until);
  }
  sorted_is_current_ = false;
}

auto EntryVmDirectory::Announced(MonotonicTime now) -> const std::vector<EntryVm>& {
  Expire(now);
  if (sorted_is_current_) return sorted_;
  sorted_.clear();
  for (const auto& [name, entry] : entries_) sorted_.push_back(entry.vm);
  std::sort(sorted_.begin(), sorted_.end(),
            [](const EntryVm& a, const EntryVm& b) { return a.name < b.name; });
  sorted_is_current_ = true;
  return sorted_;
}

auto EntryVmDirectory::RecentMaxCount(MonotonicTime now) -> int {
  Expire(now);
  const int count = std::max(1, static_cast<int>(entries_.size()));
  if (count >= recent_max_ || now - recent_max_at_ > kCountRetention) {
    recent_max_ = count;
    recent_max_at_ = now;
  }
  return recent_max_;
}

auto EntryVmDirectory::Answer(const ZoneName& zone, const RegionName& region,
                              const std::vector<RegionName>& allowed_regions, MonotonicTime now)
    -> EntryVmSelection {
  std::vector<const EntryVm*> all;
  std::vector<const EntryVm*> reaching;
  for (const auto& vm : Announced(now)) {
    all.push_back(&vm);
    if (vm.reaches_targets) reaching.push_back(&vm);
  }
  EntryVmSelection answer;
  answer.lifetime = options_.answer_lifetime;
  const auto selected =
      Draw(Select(reaching.empty() ? all : reaching, zone, region, allowed_regions));
  for (const auto* vm : selected) {
    if (answer.endpoints.size() == options_.max_addresses) break;
    answer.endpoints.push_back(vm->caller_endpoint);
  }
  return answer;
}

auto EntryVmDirectory::Select(const std::vector<const EntryVm*>& vms, const ZoneName& zone,
                              const RegionName& region,
                              const std::vector<RegionName>& allowed_regions)
    -> std::vector<const EntryVm*> {
  std::vector<const EntryVm*> selected;
  const auto add = [&](auto matches) {
    std::copy_if(vms.begin(), vms.end(), std::back_inserter(selected),
                 [&](const EntryVm* vm) { return matches(*vm); });
  };
  add([&](const EntryVm& vm) { return vm.zone == zone; });
  if (selected.size() < kMinAddresses) {
    add([&](const EntryVm& vm) { return vm.zone != zone && vm.region == region; });
  }
  if (!selected.empty()) return selected;
  add([&](const EntryVm& vm) {
    return allowed_regions.empty() || std::find(allowed_regions.begin(), allowed_regions.end(),
                                                vm.region) != allowed_regions.end();
  });
  if (selected.empty()) add([](const EntryVm&) { return true; });
  return selected;
}

auto EntryVmDirectory::Draw(std::vector<const EntryVm*> vms) -> std::vector<const EntryVm*> {
  const auto by_weight = [](const EntryVm* a, const EntryVm* b) { return a->weight < b->weight; };
  const auto [least, most] = std::minmax_element(vms.begin(), vms.end(), by_weight);
  if (vms.size() <= kMinDrawn || (*least)->weight == (*most)->weight) return vms;
  struct Ticket {
    double key;
    const EntryVm* vm;
  };
  std::vector<const EntryVm*> drawn;
  std::vector<Ticket> others;
  const double largest = (*most)->weight;
  std::uniform_real_distribution<double> uniform(0, 1);
  for (const auto* vm : vms) {
    if (uniform(random_) < vm->weight / largest) {
      drawn.push_back(vm);
    } else {
      // The smallest keys are a sample in proportion to the weights.
      others.push_back({std::exponential_distribution<double>(vm->weight)(random_), vm});
    }
  }
  std::sort(others.begin(), others.end(),
            [](const Ticket& a, const Ticket& b) { return a.key < b.key; });
  for (const auto& ticket : others) {
    if (drawn.size() >= kMinDrawn) break;
    drawn.push_back(ticket.vm);
  }
  return drawn;
}

auto IsTargetSender(const std::vector<EntryVm>& vms, const NodeName& self, const TargetName& target,
                    const ZoneName& target_zone, int sender_count) -> bool {
  const auto own =
      std::find_if(vms.begin(), vms.end(), [&](const EntryVm& vm) { return vm.name == self; });
  // A node that is not announced has no rank.
  if (own == vms.end()) return false;
  const auto rank_of = [&](const EntryVm& vm) {
    return std::pair(vm.zone != target_zone,
                     -RendezvousScore(StableHash(target.value()), StableHash(vm.name.value())));
  };
  const auto own_rank = rank_of(*own);
  const auto before = std::count_if(vms.begin(), vms.end(),
                                    [&](const EntryVm& vm) { return rank_of(vm) < own_rank; });
  return before < sender_count;
}

}  // namespace heatherspan
