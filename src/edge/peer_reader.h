#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/random.h"
#include "edge/platform_ports.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Asks other entry VMs what the store holds, at a start while the store itself can't be read. One
/// seed after the other is asked, from a random one on, since whole deployments may start at once
/// and a listing is as large as the store.
template <GatewayStore Store>
class PeerReader {
 public:
  /// Whether a peer's state is of use.
  enum class Need {
    kNone,   ///< Not any more.
    kLater,  ///< The store has not failed so far, but has not told everything yet.
    kNow,
  };

  /// How often the need is looked at. A store that refuses has failed by the first time.
  static constexpr Duration kNeedCheckInterval = std::chrono::milliseconds(200);
  /// Until all seeds are asked again.
  static constexpr Duration kRoundInterval = std::chrono::seconds(1);

  using NeedCallback = std::function<Need()>;
  using OnState = std::function<void(const Endpoint& peer, StorePage state)>;

  PeerReader(HttpClient& client, const std::vector<Endpoint>& seeds, WorkerPool& workers,
             EventLog& log, std::uint64_t random_seed, NeedCallback need, OnState on_state)
      : workers_(workers), log_(log), need_(std::move(need)), on_state_(std::move(on_state)) {
    for (const auto& seed : seeds) peers_.push_back({seed, std::make_unique<Store>(client, seed)});
    std::shuffle(peers_.begin(), peers_.end(), Random(random_seed));
  }

  auto Start() -> void {
    if (!peers_.empty()) ScheduleRound(kNeedCheckInterval);
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
    if (need == Need::kNone) return;
    if (need == Need::kLater) {
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
        return;
      }
      log_.Write(LogLevel::kWarning, "peer-state-failed",
                 {{"peer", peer.Text()},
                  {"error", std::string(state.ok() ? "the listing is not whole"
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
};

}  // namespace heatherspan
