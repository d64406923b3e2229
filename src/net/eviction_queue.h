#pragma once

#include <chrono>
#include <memory>
#include <unordered_set>
#include <vector>

#include "net/connection_use.h"

namespace heatherspan {

class HttpConnection;

/// Chooses the connections of a full server that give way to new ones: first those that have been
/// open for a while without a whole request, then idle ones, then new ones; the longest wait first.
/// Connections whose requests are handled never give way. Not thread-safe.
class EvictionQueue {
 public:
  using Clock = ConnectionUse::Clock;
  using Connections = std::unordered_set<std::shared_ptr<HttpConnection>>;

  /// The first request may be on its way for so long.
  static constexpr auto kNewFor = std::chrono::seconds(1);
  /// One connection in so many is chosen at a time, so that a search costs little for each.
  static constexpr std::size_t kBatchPart = 16;
  /// The choice is made anew after this time. A search that found few is not repeated earlier.
  static constexpr auto kBatchLifetime = std::chrono::milliseconds(50);

  /// Makes one connection give way. Returns false if none can.
  auto EvictOne(const Connections& connections, Clock::time_point now) -> bool;

 private:
  struct Candidate {
    std::weak_ptr<HttpConnection> connection;
    ConnectionUse use;
  };

  auto Fill(const Connections& connections, Clock::time_point now) -> void;
  auto EvictNext() -> bool;

  std::vector<Candidate> candidates_;  ///< The last one is the next to give way.
  bool may_have_more_ = false;         ///< The last search filled the batch.
  Clock::time_point valid_until_{};
};

}  // namespace heatherspan
