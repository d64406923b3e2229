#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "base/time.h"
#include "gateway/store_changes.h"

namespace heatherspan {

/// Tracks what this node has read of the store, from the store itself or from a peer: the next
/// call, which items of a response are new, and whether removals are reliable. Whatever the source,
/// the state is complete up to one revision, which never decreases. The class does no I/O.
class StoreSyncState {
 public:
  /// Registrations that expired during an outage return within about two seconds of its end.
  static constexpr Duration kReconnectGrace = std::chrono::seconds(3);
  /// How long a peer's word about removals holds, and how old its state may be. No registration
  /// expires because of an outage of the store that is so short.
  static constexpr Duration kPeerWordTime = std::chrono::seconds(2);

  /// Why a removal may be of an item whose owner still runs.
  enum class RemovalDoubt {
    kNone,
    kOwnOutage,   ///< This node has lost the store, or has regained it recently.
    kPeerOutage,  ///< A peer has said so of itself.
  };

  struct NextCall {
    bool list = true;                  ///< Otherwise watch.
    std::string after_key;             ///< For a list: the key after which the page begins.
    std::uint64_t after_revision = 0;  ///< For a watch: the revision after which changes are read.
  };

  auto Next() const -> NextCall;
  /// Returns the new changes, in order. The last page of a listing adds removals for keys that the
  /// listing lacks.
  auto OnPage(StorePage page, MonotonicTime now) -> std::vector<StoreChange>;
  auto OnChanges(StoreChanges changes, MonotonicTime now) -> std::vector<StoreChange>;
  auto OnFailure(const absl::Status& status, MonotonicTime now) -> void;
  /// Applies a peer's complete listing as long as this node has none. The watch continues from its
  /// revision.
  auto OnPeerState(StorePage state) -> std::vector<StoreChange>;
  /// Applies what a peer has read after this node's revision. The watch continues from the peer's
  /// revision; a listing in progress is no longer needed. A peer that has been in contact with the
  /// store counts as contact and vouches for removals; the doubt of another peer is taken over.
  auto OnPeerChanges(StoreChanges changes, MonotonicTime now) -> std::vector<StoreChange>;

  /// A complete listing has been read at least once, from the store or from a peer.
  auto synced() const -> bool { return synced_; }
  /// The last call succeeded, or a peer's state has been read since.
  auto in_contact() const -> bool { return in_contact_; }
  /// The last call failed, and no peer has given its state since.
  auto lost() const -> bool { return contact_was_lost_ && !in_contact_; }
  /// Contact was lost recently, and no peer has kept it. Removals may be expired registrations
  /// whose owners still run.
  auto RemovalsUnconfirmed(MonotonicTime now) const -> bool {
    return DoubtAboutRemovals(now) != RemovalDoubt::kNone;
  }
  auto DoubtAboutRemovals(MonotonicTime now) const -> RemovalDoubt;
  /// The time since this node has regained the store, and since a peer has doubted removals.
  auto ContactAge(MonotonicTime now) const -> Duration { return now - contact_regained_at_; }
  auto PeerDoubtAge(MonotonicTime now) const -> Duration { return now - removals_doubted_at_; }
  auto revision() const -> std::uint64_t { return revision_; }
  /// Removals up to this revision may be unknown: the node has read a listing there.
  auto history_start() const -> std::uint64_t { return history_start_; }
  /// The state has all changes up to this time. An incomplete listing shows nothing of the changes
  /// on its further pages.
  auto complete_at() const -> MonotonicTime { return complete_at_; }
  /// Since when the state may lack changes.
  auto Age(MonotonicTime now) const -> Duration { return now - complete_at_; }

 private:
  /// The clock may start at 0 with the machine.
  static constexpr MonotonicTime kNever = MonotonicTime(-std::chrono::hours(1));

  auto OnContact(MonotonicTime now) -> void;
  auto Accept(StoreChange change, std::vector<StoreChange>& new_changes) -> void;
  auto AcceptAll(StoreChanges changes) -> std::vector<StoreChange>;
  /// Ends a listing that shows the state at the revision: items that it lacks have been removed.
  auto CompleteListing(std::uint64_t revision, std::vector<StoreChange>& new_changes) -> void;
  auto OnComplete(MonotonicTime at) -> void { complete_at_ = std::max(complete_at_, at); }
  auto EndListing() -> void;

  absl::flat_hash_map<std::string, std::uint64_t>
      known_revisions_;  ///< Revisions of present items.
  absl::flat_hash_map<std::string, std::uint64_t>
      listed_revisions_;  ///< Revisions of the items in the current listing.
  bool listing_ = true;
  std::string after_key_;
  std::uint64_t list_revision_ = 0;  ///< Revision of the store at the first page.
  std::uint64_t revision_ = 0;       ///< All changes up to this revision have been read.
  std::uint64_t history_start_ = 0;
  bool synced_ = false;
  bool in_contact_ = false;
  MonotonicTime complete_at_ = kNever;
  MonotonicTime list_began_at_ = kNever;  ///< When the first page was read.
  MonotonicTime contact_regained_at_{};
  bool contact_was_lost_ = false;
  MonotonicTime removals_vouched_at_ = kNever;  ///< By a peer.
  MonotonicTime removals_doubted_at_ = kNever;  ///< By a peer.
};

}  // namespace heatherspan
