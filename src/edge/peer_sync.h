#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "edge/platform_ports.h"
#include "gateway/store_reader_role.h"
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
  using Question = StoreReaderRole::Question;

  /// One peer is asked in each interval, in turn. With three peers, of which one has the state, a
  /// change arrives within half of the shortest time in which configurations have to be in force.
  static constexpr Duration kPollInterval = std::chrono::milliseconds(300);

  /// Returns the revision up to which this node has the state, or nothing before the first listing.
  using RevisionCallback = std::function<std::optional<std::uint64_t>()>;
  using QuestionCallback = std::function<std::optional<Question>()>;
  using OnChanges = std::function<void(const Question& question, StoreChanges changes)>;

  PeerSync(HttpClient& client, WorkerPool& workers, RevisionCallback revision,
           QuestionCallback next_question, OnChanges on_changes)
      : client_(client),
        workers_(workers),
        revision_(std::move(revision)),
        next_question_(std::move(next_question)),
        on_changes_(std::move(on_changes)) {}

  auto Start() -> void {
    timer_ = workers_.RunEvery(kPollInterval, [this] { AskNext(); });
  }

 private:
  auto AskNext() -> void {
    const auto revision = revision_();
    if (!revision.has_value()) return;
    const auto question = next_question_();
    // A peer that has not answered the last question is not asked again.
    if (!question.has_value() || !asked_.insert(question->peer.Text()).second) return;
    Store(client_, question->peer)
        .Watch(*revision, Duration::zero(),
               [this, question = *question](absl::StatusOr<StoreChanges> changes) {
                 asked_.erase(question.peer.Text());
                 // A peer that doesn't answer or lacks the history is asked again in its turn.
                 if (changes.ok()) on_changes_(question, *std::move(changes));
               });
  }

  HttpClient& client_;
  WorkerPool& workers_;
  const RevisionCallback revision_;
  const QuestionCallback next_question_;
  const OnChanges on_changes_;
  absl::flat_hash_set<std::string> asked_;  ///< Peers that have yet to answer.
  std::shared_ptr<WorkerPool::Timer> timer_;
};

}  // namespace heatherspan
