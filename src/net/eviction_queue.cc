#include "net/eviction_queue.h"

#include <algorithm>
#include <cstddef>
#include <tuple>
#include <utility>

#include "net/http_connection.h"

namespace heatherspan {
namespace {

enum class Order { kUnused, kIdle, kNew };

auto OrderOf(const ConnectionUse& use, EvictionQueue::Clock::time_point now) -> Order {
  if (use.was_used()) return Order::kIdle;
  return now - use.since() >= EvictionQueue::kNewFor ? Order::kUnused : Order::kNew;
}

}  // namespace

auto EvictionQueue::EvictOne(const Connections& connections, Clock::time_point now) -> bool {
  if (now >= valid_until_) Fill(connections, now);
  if (EvictNext()) return true;
  if (!may_have_more_) return false;
  Fill(connections, now);
  return EvictNext();
}

auto EvictionQueue::EvictNext() -> bool {
  while (!candidates_.empty()) {
    const auto candidate = std::move(candidates_.back());
    candidates_.pop_back();
    const auto connection = candidate.connection.lock();
    if (connection == nullptr || connection->use() != candidate.use) continue;
    connection->GiveWay(candidate.use);
    return true;
  }
  return false;
}

auto EvictionQueue::Fill(const Connections& connections, Clock::time_point now) -> void {
  candidates_.clear();
  for (const auto& connection : connections) {
    const auto use = connection->use();
    if (!use.is_busy()) candidates_.push_back({connection, use});
  }
  const auto later = [now](const Candidate& one, const Candidate& other) {
    return std::tuple(OrderOf(one.use, now), one.use.since()) >
           std::tuple(OrderOf(other.use, now), other.use.since());
  };
  const auto batch = std::max<std::size_t>(1, connections.size() / kBatchPart);
  const auto size = std::min(candidates_.size(), batch);
  const auto first = candidates_.end() - static_cast<std::ptrdiff_t>(size);
  std::nth_element(candidates_.begin(), first, candidates_.end(), later);
  candidates_.erase(candidates_.begin(), first);
  std::sort(candidates_.begin(), candidates_.end(), later);
  may_have_more_ = size == batch;
  valid_until_ = now + kBatchLifetime;
}

}  // namespace heatherspan
