#include "gateway/store_reader_role.h"

#include <algorithm>
#include <utility>

namespace heatherspan {

auto StoreReaderRole::SetPeers(PeerSelection peers) -> void {
  if (peers.all.empty()) {
    peers_.is_reader = peers.is_reader;
    return;
  }
  peers_ = std::move(peers);
}

auto StoreReaderRole::ReadsStore(Duration state_age, MonotonicTime now) -> bool {
  if (state_age > timing_.max_state_age) reading_until_ = now + kReadingTime;
  return peers_.is_reader || now < reading_until_;
}

auto StoreReaderRole::NextQuestions(const StateQuality& state, MonotonicTime now)
    -> std::vector<Endpoint> {
  if (IsSearching(state, now)) return Search(now);
  searched_ = 0;
  std::vector<Endpoint> asked;
  const auto& readers = peers_.zone_readers;
  const auto& others = peers_.others;
  const bool reader_suffices = !peers_.is_reader && state.age <= timing_.max_state_age;
  const auto count = readers.size() + (reader_suffices ? 0 : others.size());
  if (count > 0) {
    const auto index = next_++ % count;
    asked.push_back(index < readers.size() ? readers[index] : others[index - readers.size()]);
  }
  if (now < source_until_ && (asked.empty() || asked.front() != source_)) {
    asked.push_back(source_);
  }
  return asked;
}

auto StoreReaderRole::Search(MonotonicTime now) -> std::vector<Endpoint> {
  const auto& peers = peers_.all;
  const auto width = std::min(kSearchWidth, peers.size());
  std::vector<Endpoint> asked;
  while (asked.size() < width) asked.push_back(peers[next_searched_++ % peers.size()]);
  searched_ += width;
  if (searched_ >= std::min(kMaxSearched, peers.size())) {
    search_paused_until_ = now + kSearchPause * std::exchange(searched_, 0);
  }
  return asked;
}

auto StoreReaderRole::QuestionInterval(const StateQuality& state, MonotonicTime now) const
    -> Duration {
  if (IsSearching(state, now)) return kSearchInterval;
  if (state.age > timing_.max_state_age) return kQuestionInterval;
  return std::clamp(timing_.max_state_age - state.age, kSearchInterval, kQuestionInterval);
}

auto StoreReaderRole::OnAnswer(const Endpoint& peer, Duration age, MonotonicTime now) -> void {
  if (age > timing_.max_state_age || now < source_until_) return;
  const auto is_asked_anyway = [&](const std::vector<Endpoint>& peers) {
    return std::find(peers.begin(), peers.end(), peer) != peers.end();
  };
  if (is_asked_anyway(peers_.zone_readers)) return;
  if (peers_.is_reader && is_asked_anyway(peers_.others)) return;
  source_ = peer;
  source_until_ = now + kSourceTime;
}

}  // namespace heatherspan
