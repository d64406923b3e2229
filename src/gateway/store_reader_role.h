#pragma once

#include <cstddef>
#include <vector>

#include "base/time.h"
#include "gateway/peer_selection.h"
#include "gateway/state_quality.h"
#include "gateway/store_read_timing.h"

namespace heatherspan {

/// Whether this node reads the store itself, and which peers it asks next for changes. Both follow
/// from the age of the node's state, whoever it comes from: a peer that hears nothing gives an old
/// state. The state of a healthy reader stays younger than the timing allows, so that only nodes
/// whose sources have failed make additional calls.
class StoreReaderRole {
 public:
  /// How long a node with an old state goes on reading the store.
  static constexpr Duration kReadingTime = std::chrono::seconds(3);
  /// The pause between two questions, except during a search.
  static constexpr Duration kQuestionInterval = std::chrono::milliseconds(300);
  static constexpr Duration kSearchInterval = std::chrono::milliseconds(100);
  /// Peers that are asked at the same time during a search, and by one search.
  static constexpr std::size_t kSearchWidth = 4;
  static constexpr std::size_t kMaxSearched = 24;
  /// The pause after a search in vain, for each peer asked. The next one goes on with further
  /// peers.
  static constexpr Duration kSearchPause = std::chrono::milliseconds(40);
  /// How long a peer that ended a search is asked in addition.
  static constexpr Duration kSourceTime = std::chrono::seconds(5);

  auto SetTiming(StoreReadTiming timing) -> void { timing_ = timing; }
  auto timing() const -> const StoreReadTiming& { return timing_; }
  /// Takes over the peers, unless there are none: the announcements of all entry VMs may expire
  /// during an outage of the store, and the VMs still run.
  auto SetPeers(PeerSelection peers) -> void;
  auto ReadsStore(Duration state_age, MonotonicTime now) -> bool;
  /// Returns the peers to ask now.
  auto NextQuestions(const StateQuality& state, MonotonicTime now) -> std::vector<Endpoint>;
  /// The time from one call of NextQuestions to the next.
  auto QuestionInterval(const StateQuality& state, MonotonicTime now) const -> Duration;
  /// A peer has given a state of the given age.
  auto OnAnswer(const Endpoint& peer, Duration age, MonotonicTime now) -> void;

 private:
  auto IsSearching(const StateQuality& state, MonotonicTime now) const -> bool {
    const bool needs_peers = state.age > timing_.max_state_age || state.removals_in_doubt;
    return needs_peers && now >= search_paused_until_ && !peers_.all.empty();
  }
  auto Search(MonotonicTime now) -> std::vector<Endpoint>;

  StoreReadTiming timing_;
  PeerSelection peers_;
  MonotonicTime reading_until_{};
  std::size_t next_ = 0;
  std::size_t next_searched_ = 0;
  std::size_t searched_ = 0;  ///< Peers that the current search has asked.
  MonotonicTime search_paused_until_{};
  Endpoint source_;  ///< The peer that ended the last search.
  MonotonicTime source_until_{};
};

}  // namespace heatherspan
