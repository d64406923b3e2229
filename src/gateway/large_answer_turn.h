#pragma once

#include <cstddef>
#include <string>

#include "base/time.h"

namespace heatherspan {

/// Lets one peer at a time give a large answer. Load pattern: many VMs with an old state ask many
/// peers for the same configuration, which fills slow links, so that the state stays old. A peer
/// with more tells that first.
class LargeAnswerTurn {
 public:
  /// What a peer gives without a turn.
  static constexpr std::size_t kSmallBytes = std::size_t{16} * 1024;
  /// What a peer gives with it, as much as an answer of the store has.
  static constexpr std::size_t kLargeBytes = std::size_t{8} * 1024 * 1024;
  /// The timeout of a large answer.
  static constexpr Duration kTimeout = std::chrono::seconds(6);
  /// A peer of whose answer nothing arrives for so long loses the turn.
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(600);

  /// `is_receiving`: whether a large answer is arriving.
  auto IsFree(MonotonicTime now, bool is_receiving) const -> bool {
    return peer_.empty() || (!is_receiving && now - began_at_ > kMaxSilence);
  }
  auto Begin(const std::string& peer, MonotonicTime now) -> void {
    peer_ = peer;
    began_at_ = now;
  }
  auto End(const std::string& peer) -> void {
    if (peer_ == peer) peer_.clear();
  }

 private:
  std::string peer_;
  MonotonicTime began_at_{};
};

}  // namespace heatherspan
