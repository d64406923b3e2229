#include "gateway/store_mirror.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

auto StoreMirror::Next() const -> NextCall {
  return listing_ ? NextCall{true, after_key_, 0} : NextCall{false, "", revision_};
}

auto StoreMirror::OnContact(MonotonicTime now) -> void {
  if (!in_contact_ && was_lost_) regained_ = now;
  in_contact_ = true;
  last_contact_ = now;
}

auto StoreMirror::InDoubt(MonotonicTime now) const -> bool {
  return was_lost_ && (!in_contact_ || now - regained_ < kDoubtTime);
}

auto StoreMirror::Accept(StoreChange change, std::vector<StoreChange>& news) -> void {
  const auto known = known_.find(change.key);
  if (change.value.has_value()) {
    if (known != known_.end() && known->second >= change.revision) return;
    known_[change.key] = change.revision;
  } else {
    if (known == known_.end() || known->second > change.revision) return;
    known_.erase(known);
  }
  news.push_back(std::move(change));
}

auto StoreMirror::OnPage(StorePage page, MonotonicTime now) -> std::vector<StoreChange> {
  OnContact(now);
  std::vector<StoreChange> news;
  if (!listing_) return news;
  if (after_key_.empty()) {
    list_revision_ = page.revision;
    listed_.clear();
  }
  for (auto& item : page.items) {
    after_key_ = item.key;
    listed_[item.key] = item.revision;
    Accept(std::move(item), news);
  }
  if (page.more && !page.items.empty()) return news;
  for (const auto& [key, revision] : std::exchange(known_, {})) {
    if (listed_.contains(key)) {
      known_.emplace(key, revision);
    } else {
      news.push_back({key, std::nullopt, page.revision});
    }
  }
  listing_ = false;
  after_key_.clear();
  listed_.clear();
  // Changes between two pages are read again from the first one on.
  revision_ = std::max(revision_, list_revision_);
  synced_ = true;
  return news;
}

auto StoreMirror::OnChanges(StoreChanges changes, MonotonicTime now) -> std::vector<StoreChange> {
  OnContact(now);
  std::vector<StoreChange> news;
  for (auto& change : changes.changes) Accept(std::move(change), news);
  revision_ = std::max(revision_, changes.revision);
  return news;
}

auto StoreMirror::OnPeerState(StorePage state) -> std::vector<StoreChange> {
  std::vector<StoreChange> news;
  if (synced_) return news;
  for (auto& item : state.items) Accept(std::move(item), news);
  has_peer_state_ = true;
  return news;
}

auto StoreMirror::OnFailure(const absl::Status& status, MonotonicTime now) -> void {
  if (absl::IsOutOfRange(status)) {
    OnContact(now);
    listing_ = true;
    after_key_.clear();
    return;
  }
  in_contact_ = false;
  was_lost_ = true;
  // The pages so far may miss what changed meanwhile.
  if (listing_) after_key_.clear();
}

}  // namespace heatherspan
