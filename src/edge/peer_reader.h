#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "edge/platform_ports.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Asks other entry VMs what the store holds, at a start while the store itself can't be read. All
/// seeds are asked at once: some may be gone, or know less than others.
template <GatewayStore Store>
class PeerReader {
 public:
  /// A sound store has answered by then: connecting and listing take two round trips, at most 70 ms
  /// each between the farthest regions.
  static constexpr Duration kStorePatience = std::chrono::milliseconds(200);
  static constexpr Duration kInterval = std::chrono::seconds(1);

  using IsNeeded = std::function<bool()>;
  using OnState = std::function<void(const Endpoint& peer, StorePage state)>;

  PeerReader(HttpClient& client, const std::vector<Endpoint>& seeds, WorkerPool& workers,
             EventLog& log, IsNeeded is_needed, OnState on_state)
      : workers_(workers),
        log_(log),
        is_needed_(std::move(is_needed)),
        on_state_(std::move(on_state)) {
    for (const auto& seed : seeds) peers_.push_back({seed, Store(client, seed)});
  }

  auto Start() -> void {
    if (!peers_.empty()) Arm(kStorePatience);
  }

 private:
  struct Peer {
    Endpoint endpoint;
    Store store;
  };

  auto Arm(Duration delay) -> void {
    timer_ = workers_.RunAfter(delay, [this] { Ask(); });
  }

  auto Ask() -> void {
    if (!is_needed_()) return;
    for (auto& peer : peers_) {
      peer.store.List("", [this, &peer](absl::StatusOr<StorePage> state) {
        if (state.ok() && !state->more) {
          on_state_(peer.endpoint, *std::move(state));
          return;
        }
        log_.Write(LogLevel::kWarning, "peer-state-failed",
                   {{"peer", peer.endpoint.Text()},
                    {"error", std::string(state.ok() ? "the listing is not whole"
                                                     : state.status().message())}});
      });
    }
    Arm(kInterval);
  }

  WorkerPool& workers_;
  EventLog& log_;
  const IsNeeded is_needed_;
  const OnState on_state_;
  std::deque<Peer> peers_;
  std::shared_ptr<WorkerPool::Timer> timer_;
};

}  // namespace heatherspan
