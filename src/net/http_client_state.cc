#include "net/http_client_state.h"

#include <algorithm>

namespace heatherspan {

auto HttpClientState::Take(const Endpoint& endpoint, Duration max_idle,
                           const std::function<std::shared_ptr<HttpClientConnection>()>& create)
    -> std::shared_ptr<HttpClientConnection> {
  const std::lock_guard lock(mutex_);
  if (stopped_) return nullptr;
  auto& pool = pools_[endpoint];
  if (!pool.idle.empty() && SystemClock().Now() - pool.idle.back().since <= max_idle) {
    auto connection = std::move(pool.idle.back().connection);
    pool.idle.pop_back();
    return connection;
  }
  if (pool.open.size() >= limits_.max_connections_per_endpoint) return nullptr;
  auto connection = create();
  pool.open.insert(connection);
  return connection;
}

auto HttpClientState::GiveBack(const Endpoint& endpoint,
                               const std::shared_ptr<HttpClientConnection>& connection) -> bool {
  const std::lock_guard lock(mutex_);
  if (stopped_) return false;
  pools_[endpoint].idle.push_back({connection, SystemClock().Now()});
  return true;
}

auto HttpClientState::Forget(const Endpoint& endpoint,
                             const std::shared_ptr<HttpClientConnection>& connection) -> void {
  const std::lock_guard lock(mutex_);
  const auto found = pools_.find(endpoint);
  if (found == pools_.end()) return;
  found->second.open.erase(connection);
  if (found->second.open.empty()) pools_.erase(found);
}

auto HttpClientState::ForgetIdle(const Endpoint& endpoint,
                                 const std::shared_ptr<HttpClientConnection>& connection) -> bool {
  const std::lock_guard lock(mutex_);
  const auto found = pools_.find(endpoint);
  if (found == pools_.end()) return true;
  auto& [open, idle] = found->second;
  const auto position = std::find_if(idle.begin(), idle.end(), [&](const Idle& candidate) {
    return candidate.connection == connection;
  });
  if (position == idle.end()) return false;
  idle.erase(position);
  open.erase(connection);
  if (open.empty()) pools_.erase(found);
  return true;
}

auto HttpClientState::Stop() -> std::vector<std::shared_ptr<HttpClientConnection>> {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  std::vector<std::shared_ptr<HttpClientConnection>> connections;
  for (const auto& [endpoint, pool] : pools_) {
    connections.insert(connections.end(), pool.open.begin(), pool.open.end());
  }
  pools_.clear();
  return connections;
}

}  // namespace heatherspan
