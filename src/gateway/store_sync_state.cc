#include "gateway/store_sync_state.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace heatherspan {

auto StoreSyncState::Next() const -> NextCall {
  if (listing_ == Listing::kNone) return {false, "", revision_};
  return {true, after_key_, 0};
}

auto StoreSyncState::BeginOtherEra() -> void {
  EndListing();
  listing_ = Listing::kOtherEra;
  ++listing_number_;
}

auto StoreSyncState::OnStoreEra(StoreEra era, MonotonicTime called_at, MonotonicTime now) -> bool {
  const bool refutes_peer = peer_era_heard_at_.has_value() && called_at >= *peer_era_heard_at_;
  if (era == store_era_) {
    if (!refutes_peer) return false;
    peer_era_heard_at_.reset();
    if (era_ == store_era_) EndListing();
    return false;
  }
  // An answer to an earlier call may come from the time before the restore.
  if (era < store_era_ && called_at <= store_era_known_at_) return false;
  const bool is_first = store_era_ == StoreEra() && !synced_;
  store_era_ = era;
  store_era_known_at_ = now;
  peer_era_heard_at_.reset();
  if (is_first) return false;
  BeginOtherEra();
  return true;
}

auto StoreSyncState::OnPeerEra(StoreEra era, MonotonicTime now) -> bool {
  if (!synced_ || era <= store_era_ || peer_era_heard_at_.has_value()) return false;
  if (last_peer_era_at_.has_value() && now - *last_peer_era_at_ < kPeerEraInterval) return false;
  peer_era_heard_at_ = now;
  last_peer_era_at_ = now;
  BeginOtherEra();
  return true;
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
  if (listing_ == Listing::kNone) return new_changes;
  if (after_key_.empty()) {
    // The store has gone back without telling another era, or a peer has told a revision that the
    // store never had.
    if (listing_ == Listing::kSameEra && synced_ && page.revision < revision_) {
      listing_ = Listing::kOtherEra;
    }
    list_revision_ = page.revision;
    list_began_at_ = now;
    list_complete_at_ = now - page.age;
    list_proved_at_ = page.proved_at;
    listed_revisions_.clear();
    listed_items_.clear();
  }
  const bool is_last = !page.more || page.items.empty();
  for (auto& item : page.items) {
    after_key_ = item.key;
    if (listing_ == Listing::kOtherEra) {
      listed_items_.push_back(std::move(item));
      continue;
    }
    listed_revisions_[item.key] = item.revision;
    Accept(std::move(item), new_changes);
  }
  if (!is_last) return new_changes;
  // The watch starts at the first page's revision, so that it repeats changes made between two
  // pages.
  if (listing_ == Listing::kOtherEra) {
    new_changes = ReplaceState({std::move(listed_items_), false, list_revision_, store_era_});
    contact_.OnRestored(list_began_at_);
    complete_at_ = list_complete_at_;
    proof_.Reset();
    proof_.OnProved(list_proved_at_);
    return new_changes;
  }
  era_ = store_era_;
  CompleteListing(list_revision_, new_changes);
  contact_.OnAnswer(list_began_at_);
  complete_at_ = std::max(complete_at_, list_complete_at_);
  proof_.OnProved(list_proved_at_);
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

auto StoreSyncState::ReplaceState(StorePage state) -> std::vector<StoreChange> {
  absl::flat_hash_map<std::string, std::uint64_t> revisions;
  for (const auto& item : state.items) revisions[item.key] = item.revision;
  std::vector<StoreChange> new_changes;
  for (const auto& [key, revision] : known_revisions_) {
    if (!revisions.contains(key)) new_changes.push_back({key, std::nullopt, state.revision});
  }
  std::move(state.items.begin(), state.items.end(), std::back_inserter(new_changes));
  known_revisions_ = std::move(revisions);
  ++replacements_;
  EndListing();
  era_ = state.era;
  revision_ = state.revision;
  history_start_ = state.revision;
  synced_ = true;
  return new_changes;
}

auto StoreSyncState::ForgetAge() -> void {
  contact_.Reset();
  proof_.Reset();
  complete_at_ = StoreContact::kNever;
}

auto StoreSyncState::EndListing() -> void {
  listing_ = Listing::kNone;
  after_key_.clear();
  listed_items_.clear();
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
  // The answer of a store that has gone back shows nothing of the later state.
  const bool continues_state = listing_ == Listing::kNone && changes.era == era_;
  if (continues_state) complete_at_ = std::max(complete_at_, now - changes.age);
  if (continues_state && changes.revision >= revision_) proof_.OnProved(changes.proved_at);
  return AcceptAll(std::move(changes));
}

auto StoreSyncState::OnPeerState(StorePage state, MonotonicTime now) -> std::vector<StoreChange> {
  std::vector<StoreChange> new_changes;
  if (synced_) {
    if (listing_ != Listing::kOtherEra || state.era <= era_) return new_changes;
    store_era_ = state.era;
    store_era_known_at_ = now;
    peer_era_heard_at_.reset();
    ForgetAge();
    return ReplaceState(std::move(state));
  }
  ForgetAge();
  // Pages of another era than the state's may have been applied.
  const bool continues_pages = listing_ == Listing::kSameEra && state.era == store_era_;
  if (state.era > store_era_) {
    store_era_ = state.era;
    store_era_known_at_ = now;
  }
  if (continues_pages) {
    era_ = state.era;
    listed_revisions_.clear();
    for (auto& item : state.items) {
      listed_revisions_[item.key] = item.revision;
      Accept(std::move(item), new_changes);
    }
    CompleteListing(state.revision, new_changes);
  } else {
    new_changes = ReplaceState(std::move(state));
  }
  // Until the store can be read, the state of an earlier era is better than none.
  if (era_ != store_era_) BeginOtherEra();
  return new_changes;
}

auto StoreSyncState::OnPeerChanges(StoreChanges changes, MonotonicTime now)
    -> std::vector<StoreChange> {
  // The state of an era that the store has left gets no younger.
  if (!synced_ || era_ != store_era_ || changes.era != era_) return {};
  if (changes.revision < revision_) return {};
  contact_.OnSpan(now - changes.contact_age, now - changes.age);
  complete_at_ = std::max(complete_at_, now - changes.age);
  proof_.OnProved(changes.proved_at);
  if (changes.age <= kMaxContactAge) {
    in_contact_ = true;
    contact_was_lost_ = false;
  }
  if (changes.revision == revision_) return {};
  if (listing_ == Listing::kSameEra) EndListing();
  return AcceptAll(std::move(changes));
}

auto StoreSyncState::NeedsListing(const absl::Status& status) const -> bool {
  if (absl::IsOutOfRange(status)) return true;
  // A listing that is too large itself is made again only after a pause.
  if (listing_ != Listing::kNone) return false;
  return absl::IsResourceExhausted(status) || absl::IsDeadlineExceeded(status);
}

auto StoreSyncState::OnFailure(const absl::Status& status) -> void {
  if (NeedsListing(status)) {
    // The part that has arrived doesn't show that the store still answers.
    if (absl::IsDeadlineExceeded(status)) {
      contact_.OnUnanswered();
    } else {
      in_contact_ = true;
    }
    if (listing_ == Listing::kNone) listing_ = Listing::kSameEra;
    after_key_.clear();
    return;
  }
  in_contact_ = false;
  contact_was_lost_ = true;
  contact_.OnUnanswered();
  // Items on the pages read so far may have changed meanwhile.
  if (listing_ != Listing::kNone) after_key_.clear();
}

}  // namespace heatherspan
