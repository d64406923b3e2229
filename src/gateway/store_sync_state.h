#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "base/time.h"
#include "gateway/state_proof.h"
#include "gateway/state_quality.h"
#include "gateway/store_changes.h"
#include "gateway/store_contact.h"

namespace heatherspan {

/// Tracks what this node has read of the store, from the store itself or from a peer: the next
/// call, which items of a response are new, and whether removals are reliable. Whatever the source,
/// the state is complete up to one revision of one era of the store. The revision never decreases
/// within an era; the state of another era replaces it as a whole. The class does no I/O.
class StoreSyncState {
 public:
  /// A peer with an older state does not count as contact with the store.
  static constexpr Duration kMaxContactAge = std::chrono::seconds(2);

  struct NextCall {
    bool list = true;                  ///< Otherwise watch.
    std::string after_key;             ///< For a list: the key after which the page begins.
    std::uint64_t after_revision = 0;  ///< For a watch: the revision after which changes are read.
  };

  /// `gap`: see StoreReadTiming::max_answer_gap.
  auto SetMaxGap(Duration gap) -> void { contact_.SetMaxGap(gap); }
  auto Next() const -> NextCall;
  /// An answer of the store to a call that was made at the given time tells the era, before the
  /// answer itself is applied. Returns true if a listing of another era has to begin. Answers to
  /// earlier calls must not be applied then: see `listing_number`.
  auto OnStoreEra(StoreEra era, MonotonicTime called_at, MonotonicTime now) -> bool;
  /// A peer's question or answer tells its era. Only the store itself, or a peer's whole state,
  /// shows whether it is right. Returns true if a listing has to begin.
  auto OnPeerEra(StoreEra era, MonotonicTime now) -> bool;
  /// Returns the new changes, in order. The last page of a listing adds removals for keys that the
  /// listing lacks.
  auto OnPage(StorePage page, MonotonicTime now) -> std::vector<StoreChange>;
  auto OnChanges(StoreChanges changes, MonotonicTime now) -> std::vector<StoreChange>;
  /// Whether the failure of a call shows that the changes since the revision can't be read: the
  /// store no longer has them, or they are too large together for the client or the link. A listing
  /// has the state alone.
  auto NeedsListing(const absl::Status& status) const -> bool;
  auto OnFailure(const absl::Status& status) -> void;
  /// An answer of the store is overdue, and another call is made beside it.
  auto OnOverdue() -> void { contact_.OnUnanswered(); }
  /// Applies a peer's complete listing if this node has none or only one of an earlier era. The
  /// watch continues from its revision.
  auto OnPeerState(StorePage state, MonotonicTime now) -> std::vector<StoreChange>;
  /// Applies what a peer has read after this node's revision. The watch continues from the peer's
  /// revision; a listing in progress is no longer needed. What the peer knows of the store's
  /// answers counts like answers to this node.
  auto OnPeerChanges(StoreChanges changes, MonotonicTime now) -> std::vector<StoreChange>;

  /// A complete listing has been read at least once, from the store or from a peer.
  auto synced() const -> bool { return synced_; }
  /// The last call succeeded, or a peer's state has been read since.
  auto in_contact() const -> bool { return in_contact_; }
  /// The last call failed, and no peer has given its state since.
  auto lost() const -> bool { return contact_was_lost_ && !in_contact_; }
  /// Removals may be expired registrations whose owners still run.
  auto RemovalsUnconfirmed() const -> bool { return contact_.RemovalsInDoubt(); }
  /// Items that were removed before this time and are absent have no running owner.
  auto removals_certain_until() const -> std::optional<MonotonicTime> {
    return RemovalsUnconfirmed() ? std::nullopt : std::optional(contact_.until());
  }
  /// The time since when the store has answered this node or a peer without an outage.
  auto ContactAge(MonotonicTime now) const -> Duration { return contact_.Age(now); }
  auto revision() const -> std::uint64_t { return revision_; }
  /// The era that the state belongs to.
  auto era() const -> StoreEra { return era_; }
  /// A later era is known, and the node does not have its state yet.
  auto is_outdated() const -> bool { return synced_ && listing_ == Listing::kOtherEra; }
  /// How often a state that does not continue the one before has replaced it.
  auto replacements() const -> std::uint64_t { return replacements_; }
  /// Changes when a listing of another era begins.
  auto listing_number() const -> std::uint64_t { return listing_number_; }
  /// Removals up to this revision may be unknown: the node has read a listing there.
  auto history_start() const -> std::uint64_t { return history_start_; }
  /// The state has all changes up to this time. An incomplete listing shows nothing of the changes
  /// on its further pages.
  auto complete_at() const -> MonotonicTime { return complete_at_; }
  /// The state is proved to have all changes up to this time.
  auto proved_at() const -> BootTime { return proof_.at(); }
  /// Since when the state may lack changes.
  auto Age(MonotonicTime now) const -> Duration { return now - complete_at_; }
  auto Quality(MonotonicTime now) const -> StateQuality {
    return {Age(now), RemovalsUnconfirmed()};
  }

 private:
  enum class Listing {
    kNone,
    kSameEra,   ///< Each page is applied as it arrives.
    kOtherEra,  ///< The pages replace the state together.
  };

  /// A peer that tells eras which the store doesn't know causes no more than one page in this time.
  static constexpr Duration kPeerEraInterval = std::chrono::seconds(1);

  auto BeginOtherEra() -> void;
  /// Replaces the state by the listed items, whatever their revisions are.
  auto ReplaceState(StorePage state) -> std::vector<StoreChange>;
  auto Accept(StoreChange change, std::vector<StoreChange>& new_changes) -> void;
  auto AcceptAll(StoreChanges changes) -> std::vector<StoreChange>;
  /// Ends a listing that shows the state at the revision: items that it lacks have been removed.
  auto CompleteListing(std::uint64_t revision, std::vector<StoreChange>& new_changes) -> void;
  auto EndListing() -> void;
  /// A state of unknown age replaces the one before.
  auto ForgetAge() -> void;

  absl::flat_hash_map<std::string, std::uint64_t>
      known_revisions_;  ///< Revisions of present items.
  absl::flat_hash_map<std::string, std::uint64_t>
      listed_revisions_;                   ///< Revisions of the items in the current listing.
  std::vector<StoreChange> listed_items_;  ///< Of another era.
  Listing listing_ = Listing::kSameEra;
  std::uint64_t listing_number_ = 0;
  std::uint64_t replacements_ = 0;
  StoreEra era_;
  StoreEra store_era_;  ///< The latest that is known of the store.
  MonotonicTime store_era_known_at_{};
  std::optional<MonotonicTime> peer_era_heard_at_;  ///< Set until the store has answered.
  std::optional<MonotonicTime> last_peer_era_at_;
  std::string after_key_;
  std::uint64_t list_revision_ = 0;  ///< Revision of the store at the first page.
  std::uint64_t revision_ = 0;       ///< All changes up to this revision have been read.
  std::uint64_t history_start_ = 0;
  bool synced_ = false;
  bool in_contact_ = false;
  bool contact_was_lost_ = false;
  StoreContact contact_;
  StateProof proof_;
  MonotonicTime complete_at_ = StoreContact::kNever;
  MonotonicTime list_began_at_{};                 ///< When the first page was read.
  MonotonicTime list_complete_at_{};              ///< By the first page.
  BootTime list_proved_at_ = StateProof::kNever;  ///< By the first page.
};

}  // namespace heatherspan
