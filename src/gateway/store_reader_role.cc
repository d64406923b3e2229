#include "gateway/store_reader_role.h"

#include <utility>

namespace heatherspan {

auto StoreReaderRole::SetPeers(PeerSelection peers, MonotonicTime now) -> void {
  if (peers.zone_readers.empty() && peers.others.empty()) {
    peers_.is_reader = peers.is_reader;
    return;
  }
  if (peers_.is_reader && !peers.is_reader) recent_answer_at_ = now;
  peers_ = std::move(peers);
}

auto StoreReaderRole::NextQuestion(MonotonicTime now) -> std::optional<Question> {
  const auto& readers = peers_.zone_readers;
  const auto& others = peers_.others;
  const bool reader_suffices = !peers_.is_reader && now - recent_answer_at_ <= kReaderPause;
  const auto count = readers.size() + (reader_suffices ? 0 : others.size());
  if (count == 0) return std::nullopt;
  const auto index = next_++ % count;
  return index < readers.size() ? Question{readers[index], true}
                                : Question{others[index - readers.size()], false};
}

}  // namespace heatherspan
