#include "gateway/store_sync_state.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

auto StoreSyncState::Next() const -> NextCall {
  return listing_ ? NextCall{true, after_key_, 0} : NextCall{false, "", revision_};
}

auto StoreSyncState::Accept(StoreChange change, std::vector<StoreChange>& new_changes) -> void {
  const auto known = known_revisions_.find(change.key);
  if (change.value.has_value()) {
    if (known != known_revisions_.end() && known->second >= change.revision) return;
    known_revisions_[change.key] = change.revision;
  } else if (known != known_revisions_.end()) {
    if (known->second > change.revision) return;
    known_revisions_.erase(known);
  }
  // The removal of an unknown item is a change, too: a peer may know the item.
  new_changes.push_back(std::move(change));
}

auto StoreSyncState::OnPage(StorePage page, MonotonicTime now) -> std::vector<StoreChange> {
  in_contact_ = true;
  std::vector<StoreChange> new_changes;
  if (!listing_) return new_changes;
  if (after_key_.empty()) {
    list_revision_ = page.revision;
    list_began_at_ = now;
    listed_revisions_.clear();
  }
  for (auto& item : page.items) {
    after_key_ = item.key;
    listed_revisions_[item.key] = item.revision;
    Accept(std::move(item), new_changes);
  }
  if (page.more && !page.items.empty()) return new_changes;
  // The watch starts at the first page's revision, so that it repeats changes made between two
  // pages.
  CompleteListing(list_revision_, new_changes);
  contact_.OnAnswer(list_began_at_);
  return new_changes;
}

auto StoreSyncState::CompleteListing(std::uint64_t revision, std::vector<StoreChange>& new_changes)
    -> void {
  absl::erase_if(known_revisions_, [&](const auto& item) {
    const auto& [key, known_revision] = item;
    // A later change is not shown by the listing.
    if (known_revision > revision || listed_revisions_.contains(key)) return false;
    new_changes.push_back({key, std::nullopt, revision});
    return true;
  });
  EndListing();
  revision_ = std::max(revision_, revision);
  history_start_ = revision_;
  synced_ = true;
}

auto StoreSyncState::EndListing() -> void {
  listing_ = false;
  after_key_.clear();
  listed_revisions_.clear();
}

auto StoreSyncState::AcceptAll(StoreChanges changes) -> std::vector<StoreChange> {
  std::vector<StoreChange> new_changes;
  for (auto& change : changes.changes) {
    // A response that was delayed may lack the removal of an item that it shows.
    if (change.revision > revision_) Accept(std::move(change), new_changes);
  }
  revision_ = std::max(revision_, changes.revision);
  return new_changes;
}

auto StoreSyncState::OnChanges(StoreChanges changes, MonotonicTime now)
    -> std::vector<StoreChange> {
  in_contact_ = true;
  contact_.OnAnswer(now);
  return AcceptAll(std::move(changes));
}

auto StoreSyncState::OnPeerState(StorePage state) -> std::vector<StoreChange> {
  std::vector<StoreChange> new_changes;
  if (synced_) return new_changes;
  contact_.OnOutage();
  listed_revisions_.clear();
  for (auto& item : state.items) {
    listed_revisions_[item.key] = item.revision;
    Accept(std::move(item), new_changes);
  }
  CompleteListing(state.revision, new_changes);
  return new_changes;
}

auto StoreSyncState::OnPeerChanges(StoreChanges changes, MonotonicTime now)
    -> std::vector<StoreChange> {
  if (!synced_ || changes.revision < revision_) return {};
  contact_.OnSpan(now - changes.contact_age, now - changes.age);
  if (changes.age <= kMaxContactAge) {
    in_contact_ = true;
    contact_was_lost_ = false;
  }
  if (changes.revision == revision_) return {};
  EndListing();
  return AcceptAll(std::move(changes));
}

auto StoreSyncState::OnFailure(const absl::Status& status) -> void {
  if (absl::IsOutOfRange(status)) {
    in_contact_ = true;
    listing_ = true;
    after_key_.clear();
    return;
  }
  in_contact_ = false;
  contact_was_lost_ = true;
  contact_.OnUnanswered();
  // Items on the pages read so far may have changed meanwhile.
  if (listing_) after_key_.clear();
}

}  // namespace heatherspan
