#pragma once

#include <chrono>

#include "base/time.h"
#include "gateway/store_sync_state.h"

namespace heatherspan {

/// Whether a node needs the whole state of a peer in place of the store's.
enum class PeerStateNeed {
  kNone,   ///< The node has a complete listing, or the state of a peer.
  kLater,  ///< The store answers or has just been asked, but its listing is still incomplete.
  kNow,
};

/// A store that has not answered the first call by then may be silent. A call times out only after
/// 2 s, and callers are refused meanwhile.
inline constexpr Duration kStorePatienceAtStart = std::chrono::milliseconds(400);

/// `running`: the time since the start of the process.
inline auto PeerStateNeedOf(const StoreSyncState& state, Duration running) -> PeerStateNeed {
  if (state.synced() && !state.is_outdated()) return PeerStateNeed::kNone;
  const bool silent = !state.in_contact() && running > kStorePatienceAtStart;
  return state.lost() || silent ? PeerStateNeed::kNow : PeerStateNeed::kLater;
}

}  // namespace heatherspan
