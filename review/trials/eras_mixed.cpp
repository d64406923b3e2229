// A reading, by hand: a node that has read the first of two pages of the store's era 1, and not the second,
// takes a peer's state of era 2. Is a later configuration of era 2 taken, whose revision is lower than that
// of the page of era 1? Built like two_pages.cpp.
#include <cstdio>

#include "gateway/store_sync_state.h"

using namespace heatherspan;

auto main() -> int {
  const MonotonicTime start = SystemClock().Now();
  StoreSyncState state;
  state.OnStoreEra(StoreEra(1), start, start);  // The first page's answer.
  state.OnPage({{{"op/config", "r5", 900}}, true, 905, StoreEra(1)}, start);
  state.OnFailure(absl::UnavailableError("the store is away before the second page"));
  // The store has come back from a copy, and the operator has written r5 again, as revision 870.
  state.OnPeerState({{{"op/config", "r5", 870}, {"servers/a", "x", 865}}, false, 875, StoreEra(2)}, start);
  state.OnStoreEra(StoreEra(2), start + std::chrono::seconds(1), start + std::chrono::seconds(1));
  std::printf("era of the state %llu, revision %llu, the next call would list: %d, outdated %d\n",
              static_cast<unsigned long long>(state.era().value()),
              static_cast<unsigned long long>(state.revision()), state.Next().list, state.is_outdated());
  const auto changes = state.OnChanges({{{"op/config", "r6", 880}}, 880, {}, {}, {}, StoreEra(2)},
                                       start + std::chrono::seconds(1));
  std::printf("r6, written as revision 880 of era 2: %zu changes taken\n", changes.size());
  return changes.empty() ? 1 : 0;
}
