#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/time.h"
#include "edge/platform_ports.h"
#include "gateway/large_answer_turn.h"
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
    PeerNews news;
    Duration next{};
  };

  /// Returns up to where this node has the state, or nothing before the first listing.
  using PositionCallback = std::function<std::optional<StorePosition>()>;
  using QuestionsCallback = std::function<Questions()>;
  /// Returns all that peers are told at once.
  using NewsCallback = std::function<PeerNews()>;
  /// The age of the changes includes the time of the exchange.
  using OnChanges = std::function<void(const Endpoint& peer, StoreChanges changes)>;

  using OnFailure = std::function<void(const absl::Status& status)>;

  /// The era that a peer's answer belongs to, also if it has no changes to give.
  using OnEra = std::function<void(StoreEra era)>;

  PeerSync(HttpClient& client, WorkerPool& workers, PositionCallback position,
           QuestionsCallback questions, NewsCallback news, OnChanges on_changes,
           OnFailure on_failure, OnEra on_era)
      : client_(client),
        workers_(workers),
        position_(std::move(position)),
        questions_(std::move(questions)),
        news_(std::move(news)),
        on_changes_(std::move(on_changes)),
        on_failure_(std::move(on_failure)),
        on_era_(std::move(on_era)) {}

  auto Start() -> void { AskNext(); }

  /// Tells the peers the news now.
  auto Tell(const std::vector<Endpoint>& peers) -> void {
    const auto position = position_();
    if (!position.has_value()) return;
    const auto news = news_();
    for (const auto& peer : peers) {
      if (!Ask(peer, *position, news, LargeAnswerTurn::kSmallBytes)) untold_.insert(peer.Text());
    }
  }

 private:
  static auto Now() -> MonotonicTime { return SystemClock().Now(); }

  auto AskNext() -> void {
    const auto questions = questions_();
    timer_ = workers_.RunAfter(questions.next, [this] { AskNext(); });
    const auto position = position_();
    if (!position.has_value()) return;
    for (const auto& peer : questions.peers) {
      Ask(peer, *position, questions.news, LargeAnswerTurn::kSmallBytes);
    }
  }

  /// Returns false if the peer has not answered the last question: it is not asked again.
  auto Ask(const Endpoint& peer, const StorePosition& position, const PeerNews& news,
           std::size_t max_bytes) -> bool {
    const bool is_large = max_bytes > LargeAnswerTurn::kSmallBytes;
    if (!asked_.insert(peer.Text()).second) return false;
    Store(client_, peer, [this](StoreEra era, MonotonicTime /*called_at*/) { on_era_(era); })
        .AskPeer(position, news, max_bytes,
                 is_large ? LargeAnswerTurn::kTimeout : Store::kCallTimeout,
                 [this, peer, asked_at = Now(), is_large](absl::StatusOr<StoreChanges> changes) {
                   asked_.erase(peer.Text());
                   if (is_large) turn_.End(peer.Text());
                   if (untold_.erase(peer.Text()) > 0) Tell({peer});
                   // A peer that doesn't answer or lacks the history is asked again in its turn.
                   if (!changes.ok()) {
                     on_failure_(changes.status());
                     return;
                   }
                   changes->taken = Now() - asked_at;
                   changes->age += changes->taken;
                   const bool are_withheld = changes->are_withheld;
                   on_changes_(peer, *std::move(changes));
                   // A peer whose link is busy withholds a large answer, too. Others are asked
                   // next.
                   if (are_withheld && !is_large) AskForLarge(peer);
                 });
    return true;
  }

  auto AskForLarge(const Endpoint& peer) -> void {
    const auto position = position_();
    if (!position.has_value() || !turn_.IsFree(Now(), client_.reading_bytes() > 0)) return;
    if (Ask(peer, *position, news_(), LargeAnswerTurn::kLargeBytes))
      turn_.Begin(peer.Text(), Now());
  }

  HttpClient& client_;
  WorkerPool& workers_;
  const PositionCallback position_;
  const QuestionsCallback questions_;
  const NewsCallback news_;
  const OnChanges on_changes_;
  const OnFailure on_failure_;
  const OnEra on_era_;
  absl::flat_hash_set<std::string> asked_;   ///< Peers that have yet to answer.
  absl::flat_hash_set<std::string> untold_;  ///< Those of them that are to be told more.
  LargeAnswerTurn turn_;
  std::shared_ptr<WorkerPool::Timer> timer_;
};

}  // namespace heatherspan
