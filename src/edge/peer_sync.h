#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "base/endpoint.h"
#include "base/time.h"
#include "edge/platform_ports.h"
#include "net/http_client.h"
#include "net/worker_pool.h"

namespace heatherspan {

/// Asks other entry VMs for the changes that they have read from the store and this node has not.
/// The store may turn this node away, be slow or leave a call without an answer while it serves
/// others. Peers are asked all the time, since an unanswered call looks like a store without
/// changes until it times out.
template <GatewayStore Store>
class PeerSync {
 public:
  /// Whom to ask now, what to tell them, and when to ask again.
  struct Questions {
    std::vector<Endpoint> peers;
    std::vector<LimitReport> limit_reports;
    Duration next{};
  };

  /// Returns up to where this node has the state, or nothing before the first listing.
  using PositionCallback = std::function<std::optional<StorePosition>()>;
  using QuestionsCallback = std::function<Questions()>;
  /// The age of the changes includes the time of the exchange.
  using OnChanges = std::function<void(const Endpoint& peer, StoreChanges changes)>;

  /// The era that a peer's answer belongs to, also if it has no changes to give.
  using OnEra = std::function<void(StoreEra era)>;

  PeerSync(HttpClient& client, WorkerPool& workers, PositionCallback position,
           QuestionsCallback questions, OnChanges on_changes, OnEra on_era)
      : client_(client),
        workers_(workers),
        position_(std::move(position)),
        questions_(std::move(questions)),
        on_changes_(std::move(on_changes)),
        on_era_(std::move(on_era)) {}

  auto Start() -> void { AskNext(); }

 private:
  static auto Now() -> MonotonicTime { return SystemClock().Now(); }

  auto AskNext() -> void {
    const auto questions = questions_();
    timer_ = workers_.RunAfter(questions.next, [this] { AskNext(); });
    const auto position = position_();
    if (!position.has_value()) return;
    for (const auto& peer : questions.peers) Ask(peer, *position, questions.limit_reports);
  }

  auto Ask(const Endpoint& peer, const StorePosition& position,
           const std::vector<LimitReport>& limit_reports) -> void {
    // A peer that has not answered the last question is not asked again.
    if (!asked_.insert(peer.Text()).second) return;
    Store(client_, peer, [this](StoreEra era, MonotonicTime /*called_at*/) { on_era_(era); })
        .AskPeer(position, limit_reports,
                 [this, peer, asked_at = Now()](absl::StatusOr<StoreChanges> changes) {
                   asked_.erase(peer.Text());
                   // A peer that doesn't answer or lacks the history is asked again in its turn.
                   if (!changes.ok()) return;
                   changes->age += Now() - asked_at;
                   on_changes_(peer, *std::move(changes));
                 });
  }

  HttpClient& client_;
  WorkerPool& workers_;
  const PositionCallback position_;
  const QuestionsCallback questions_;
  const OnChanges on_changes_;
  const OnEra on_era_;
  absl::flat_hash_set<std::string> asked_;  ///< Peers that have yet to answer.
  std::shared_ptr<WorkerPool::Timer> timer_;
};

}  // namespace heatherspan
