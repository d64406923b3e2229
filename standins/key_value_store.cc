#include "standins/key_value_store.h"

#include <utility>

namespace heatherspan {

auto KeyValueStore::Read(std::string_view key) const -> std::optional<StoredValue> {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return std::nullopt;
  return found->second.stored;
}

auto KeyValueStore::Revision(std::string_view key) const -> std::uint64_t {
  const auto found = entries_.find(key);
  return found == entries_.end() ? 0 : found->second.stored.revision;
}

auto KeyValueStore::Write(const std::string& key, std::string value, std::uint64_t if_revision,
                          std::optional<StoreLeaseId> lease) -> Change {
  const auto present = Revision(key);
  if (present != if_revision) return {.done = false, .revision = present};
  ++last_revision_;
  entries_.insert_or_assign(key, Entry{{std::move(value), last_revision_}, lease});
  return {.done = true, .revision = last_revision_};
}

auto KeyValueStore::Remove(std::string_view key, std::uint64_t if_revision) -> Change {
  const auto found = entries_.find(key);
  const auto present = found == entries_.end() ? 0 : found->second.stored.revision;
  if (present != if_revision || present == 0) return {.done = false, .revision = present};
  entries_.erase(found);
  ++last_revision_;
  return {.done = true, .revision = last_revision_};
}

auto KeyValueStore::GrantLease(Duration lifetime, MonotonicTime now) -> StoreLeaseId {
  const StoreLeaseId id(++last_lease_);
  leases_.emplace(id, Lease{lifetime, now + lifetime});
  return id;
}

auto KeyValueStore::KeepAlive(StoreLeaseId lease, MonotonicTime now) -> bool {
  const auto found = leases_.find(lease);
  if (found == leases_.end() || found->second.end <= now) return false;
  found->second.end = now + found->second.lifetime;
  return true;
}

auto KeyValueStore::ExpireLeases(MonotonicTime now) -> void {
  const auto ended =
      std::erase_if(leases_, [now](const auto& item) { return item.second.end <= now; });
  if (ended > 0) RemoveKeysWithoutLease();
}

auto KeyValueStore::SaveCopy(const std::string& name) -> void {
  copies_.insert_or_assign(name, entries_);
}

auto KeyValueStore::RestoreCopy(const std::string& name) -> bool {
  const auto found = copies_.find(name);
  if (found == copies_.end()) return false;
  entries_ = found->second;
  RemoveKeysWithoutLease();
  return true;
}

auto KeyValueStore::RemoveKeysWithoutLease() -> void {
  std::erase_if(entries_, [this](const auto& item) {
    const auto& lease = item.second.lease;
    return lease.has_value() && !leases_.contains(*lease);
  });
}

}  // namespace heatherspan
