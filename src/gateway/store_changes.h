#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.h"
#include "base/strong_number.h"
#include "base/time.h"
#include "gateway/peer_news.h"
#include "gateway/state_proof.h"

namespace heatherspan {

/// The history to which revisions belong. It is another one once the store has come back from an
/// older copy, which gives the same revisions to other changes. Zero: not told.
using StoreEra = StrongNumber<struct StoreEraTag, std::uint64_t>;

/// A place in the history of the store.
struct StorePosition {
  StoreEra era;
  std::uint64_t revision = 0;
};

/// An item of the platform's store as written, or its removal.
struct StoreChange {
  std::string key;
  std::optional<std::string> value;  ///< Empty if the item was removed.
  std::uint64_t revision = 0;        ///< Revision of this change.
};

/// Part of a listing. The pages of a listing may show different revisions of the store.
struct StorePage {
  std::vector<StoreChange> items;
  bool more = false;           ///< The listing continues after the last item.
  std::uint64_t revision = 0;  ///< Revision of the store when the page was made.
  StoreEra era = {};
  BootTime proved_at = StateProof::kNever;  ///< The page was made later.
  Duration age{};                           ///< The page was made at most so long ago.
  std::size_t bytes = 0;                    ///< Of the answer, if it has come as one.
};

/// The changes since a revision.
struct StoreChanges {
  std::vector<StoreChange> changes;
  std::uint64_t revision = 0;  ///< The changes are complete up to this revision.
  /// Up to how long ago whoever gives the changes knows them to be complete: for the store, since
  /// it has made the answer at the latest; for a peer, also through others.
  Duration age{};
  /// Since when whoever gives the changes has heard from the store without an outage between two
  /// answers, also through others.
  Duration contact_age{};
  PeerNews news = {};  ///< Only from other entry VMs.
  StoreEra era = {};
  /// The store had no later change at that time than those up to the revision.
  BootTime proved_at = StateProof::kNever;
  std::size_t bytes = 0;  ///< Of the answer, if it has come as one.
  Duration taken{};       ///< By the question and the answer.
  /// The peer has left the changes out, because they are large. Shows nothing of the state.
  bool are_withheld = false;
};

struct StoreLease {
  std::uint64_t id = 0;
  Duration lifetime{};
};

}  // namespace heatherspan
