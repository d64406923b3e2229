#include "gateway/store_sync_state.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

auto StoreSyncState::Next() const -> NextCall {
  return listing_ ? NextCall{true, after_key_, 0} : NextCall{false, "", revision_};
}

auto StoreSyncState::OnContact(MonotonicTime now) -> void {
  if (!in_contact_ && contact_was_lost_) contact_regained_at_ = now;
  in_contact_ = true;
  last_contact_ = now;
}

auto StoreSyncState::RemovalsUnconfirmed(MonotonicTime now) const -> bool {
  return contact_was_lost_ && (!in_contact_ || now - contact_regained_at_ < kReconnectGrace);
}

auto StoreSyncState::Accept(StoreChange change, std::vector<StoreChange>& new_changes) -> void {
  const auto known = known_revisions_.find(change.key);
  if (change.value.has_value()) {
    if (known != known_revisions_.end() && known->second >= change.revision) return;
    known_revisions_[change.key] = change.revision;
  } else {
    if (known == known_revisions_.end() || known->second > change.revision) return;
    known_revisions_.erase(known);
  }
  new_changes.push_back(std::move(change));
}

auto StoreSyncState::OnPage(StorePage page, MonotonicTime now) -> std::vector<StoreChange> {
  OnContact(now);
  std::vector<StoreChange> new_changes;
  if (!listing_) return new_changes;
  if (after_key_.empty()) {
    list_revision_ = page.revision;
    listed_revisions_.clear();
  }
  for (auto& item : page.items) {
    after_key_ = item.key;
    listed_revisions_[item.key] = item.revision;
    Accept(std::move(item), new_changes);
  }
  if (page.more && !page.items.empty()) return new_changes;
  for (const auto& [key, revision] : std::exchange(known_revisions_, {})) {
    if (listed_revisions_.contains(key)) {
      known_revisions_.emplace(key, revision);
    } else {
      new_changes.push_back({key, std::nullopt, page.revision});
    }
  }
  listing_ = false;
  after_key_.clear();
  listed_revisions_.clear();
  // The watch starts at the first page's revision, so that it repeats changes made between two
  // pages.
  revision_ = std::max(revision_, list_revision_);
  synced_ = true;
  return new_changes;
}

auto StoreSyncState::OnChanges(StoreChanges changes, MonotonicTime now)
    -> std::vector<StoreChange> {
  OnContact(now);
  std::vector<StoreChange> new_changes;
  for (auto& change : changes.changes) Accept(std::move(change), new_changes);
  revision_ = std::max(revision_, changes.revision);
  return new_changes;
}

auto StoreSyncState::OnPeerState(StorePage state) -> std::vector<StoreChange> {
  std::vector<StoreChange> new_changes;
  if (synced_) return new_changes;
  for (auto& item : state.items) Accept(std::move(item), new_changes);
  has_peer_state_ = true;
  return new_changes;
}

auto StoreSyncState::OnFailure(const absl::Status& status, MonotonicTime now) -> void {
  if (absl::IsOutOfRange(status)) {
    OnContact(now);
    listing_ = true;
    after_key_.clear();
    return;
  }
  in_contact_ = false;
  contact_was_lost_ = true;
  // Items on the pages read so far may have changed meanwhile.
  if (listing_) after_key_.clear();
}

}  // namespace heatherspan
