// Case 4, the order of events by hand: a node that has read the first of two pages of the store's new
// era takes a peer's state of the era before. Does the answer of the second page still count?
// Built with build/default: see the comment in two_pages.txt.
#include <cstdio>

#include "gateway/store_sync_state.h"

using namespace heatherspan;

auto main() -> int {
  const MonotonicTime start = SystemClock().Now();
  StoreSyncState state;
  state.OnFailure(absl::UnavailableError("the store is away at the node's start"));
  state.OnStoreEra(StoreEra(2), start, start);  // The first page's answer.
  state.OnPage({{{"op/config", "old copy", 5}}, true, 9, StoreEra(2)}, start);
  const auto listing_of_second_page = state.listing_number();
  state.OnPeerState({{{"op/config", "before", 12}, {"servers/a", "x", 11}}, false, 12, StoreEra(1)}, start);
  const bool dropped = listing_of_second_page != state.listing_number();
  std::printf("the second page's answer is dropped: %d, the next call would list: %d, era of the state %llu, "
              "in contact %d, lost %d, outdated %d\n",
              dropped, state.Next().list, static_cast<unsigned long long>(state.era().value()),
              state.in_contact(), state.lost(), state.is_outdated());
  const auto changes = state.OnPeerChanges({{{"op/config", "new", 14}}, 14, {}, {}, {}, StoreEra(2)}, start);
  std::printf("changes taken from a peer of the new era: %zu\n", changes.size());
  return dropped ? 1 : 0;
}
