#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/random.h"
#include "edge/platform_ports.h"
#include "gateway/peer_state_need.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Reads the content of the store from other entry VMs if the store fails or is silent at a start.
/// Seeds are asked one after another in random order, because a whole deployment may start at once
/// and a listing is as large as the store.
template <GatewayStore Store>
class PeerReader {
 public:
  /// How often the need is checked. A store that refuses connections has failed by the first check.
  static constexpr Duration kNeedCheckInterval = std::chrono::milliseconds(200);
  /// The pause after all seeds have failed.
  static constexpr Duration kRoundInterval = std::chrono::milliseconds(400);

  using NeedCallback = std::function<PeerStateNeed()>;
  using OnState = std::function<void(const Endpoint& peer, StorePage state)>;

  PeerReader(HttpClient& client, const std::vector<Endpoint>& seeds, WorkerPool& workers,
             EventLog& log, std::uint64_t random_seed, NeedCallback need, OnState on_state)
      : workers_(workers), log_(log), need_(std::move(need)), on_state_(std::move(on_state)) {
    for (const auto& seed : seeds) peers_.push_back({seed, std::make_unique<Store>(client, seed)});
    std::shuffle(peers_.begin(), peers_.end(), Random(random_seed));
  }

  /// Reads a peer's state once it is needed. May be called again.
  auto Start() -> void {
    if (peers_.empty() || std::exchange(is_running_, true)) return;
    ScheduleRound(kNeedCheckInterval);
  }

 private:
  struct Peer {
    Endpoint endpoint;
    std::unique_ptr<Store> store;
  };

  auto ScheduleRound(Duration delay) -> void {
    timer_ = workers_.RunAfter(delay, [this] { ReadPeer(0); });
  }

  auto ReadPeer(std::size_t index) -> void {
    const auto need = need_();
    if (need == PeerStateNeed::kNone) {
      is_running_ = false;
      return;
    }
    if (need == PeerStateNeed::kLater) {
      ScheduleRound(kNeedCheckInterval);
      return;
    }
    if (index == peers_.size()) {
      ScheduleRound(kRoundInterval);
      return;
    }
    peers_[index].store->List("", [this, index](absl::StatusOr<StorePage> state) {
      const auto& peer = peers_[index].endpoint;
      if (state.ok() && !state->more) {
        on_state_(peer, *std::move(state));
        // The peer's state may belong to an era that is not wanted.
        ReadPeer(index + 1);
        return;
      }
      log_.Write(LogLevel::kWarning, "peer-state-failed",
                 {{"peer", peer.Text()},
                  {"error", std::string(state.ok() ? "incomplete listing: more pages follow"
                                                   : state.status().message())}});
      ReadPeer(index + 1);
    });
  }

  WorkerPool& workers_;
  EventLog& log_;
  const NeedCallback need_;
  const OnState on_state_;
  std::vector<Peer> peers_;
  std::shared_ptr<WorkerPool::Timer> timer_;
  bool is_running_ = false;
};

}  // namespace heatherspan
