#include "gateway/store_snapshot.h"

#include <algorithm>
#include <utility>

namespace heatherspan {
namespace {

auto EraseKey(std::multimap<std::uint64_t, std::string>& keys, std::uint64_t revision,
              const std::string& key) -> void {
  const auto [begin, end] = keys.equal_range(revision);
  const auto found =
      std::find_if(begin, end, [&key](const auto& entry) { return entry.second == key; });
  if (found != end) keys.erase(found);
}

}  // namespace

auto StoreSnapshot::Apply(const StoreChange& change) -> Effect {
  const auto effect = EffectOf(change);
  const auto [entry, is_new] = items_.try_emplace(change.key);
  auto& item = entry->second;
  if (!is_new) {
    EraseKey(keys_by_revision_, item.last_change.revision, change.key);
    if (!item.last_change.value.has_value()) {
      EraseKey(removals_by_revision_, item.last_change.revision, change.key);
    }
  }
  if (change.value.has_value()) {
    item.removed.reset();
  } else if (item.last_change.value.has_value()) {
    item.removed = std::move(item.last_change);
  }
  item.last_change = change;
  keys_by_revision_.emplace(change.revision, change.key);
  if (change.value.has_value()) return effect;
  removals_by_revision_.emplace(change.revision, change.key);
  ForgetOldRemovals();
  return effect;
}

auto StoreSnapshot::EffectOf(const StoreChange& change) const -> Effect {
  const auto earlier = earlier_items_.find(change.key);
  if (earlier == earlier_items_.end() || !change.value.has_value()) return Effect::kNew;
  if (earlier->second.last_change.value == change.value) return Effect::kUnchanged;
  return EarlierWrite(change.key) == nullptr ? Effect::kNew : Effect::kRemovedBefore;
}

auto StoreSnapshot::EarlierWrite(const std::string& key) const -> const StoreChange* {
  const auto earlier = earlier_items_.find(key);
  if (earlier == earlier_items_.end() || !earlier->second.removed.has_value()) return nullptr;
  return &*earlier->second.removed;
}

auto StoreSnapshot::BeginEra() -> void {
  earlier_items_ = std::exchange(items_, {});
  keys_by_revision_.clear();
  removals_by_revision_.clear();
  forgotten_revision_ = 0;
}

auto StoreSnapshot::IsCurrent(const StoreChange& change) const -> bool {
  const auto found = items_.find(change.key);
  return found != items_.end() && found->second.last_change.revision == change.revision &&
         found->second.last_change.value == change.value;
}

auto StoreSnapshot::ForgetOldRemovals() -> void {
  while (removals_by_revision_.size() > kMaxRemovals) {
    const auto oldest = removals_by_revision_.begin();
    forgotten_revision_ = std::max(forgotten_revision_, oldest->first);
    EraseKey(keys_by_revision_, oldest->first, oldest->second);
    items_.erase(oldest->second);
    removals_by_revision_.erase(oldest);
  }
}

auto StoreSnapshot::Page(std::uint64_t revision) const -> StorePage {
  StorePage page;
  page.revision = revision;
  for (const auto& [key, item] : items_) {
    if (item.last_change.value.has_value()) page.items.push_back(item.last_change);
  }
  return page;
}

auto StoreSnapshot::ChangesAfter(std::uint64_t revision) const
    -> std::optional<std::vector<StoreChange>> {
  if (revision < forgotten_revision_) return std::nullopt;
  std::vector<StoreChange> changes;
  for (auto entry = keys_by_revision_.upper_bound(revision); entry != keys_by_revision_.end();
       ++entry) {
    changes.push_back(items_.at(entry->second).last_change);
  }
  return changes;
}

}  // namespace heatherspan
