#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <utility>

#include "edge/platform_ports.h"
#include "gateway/store_sync_state.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Follows the store: lists it once, then waits for changes, and lists it again when the history is
/// gone. One call is outstanding at any time.
template <GatewayStore Store>
class StoreFollower {
 public:
  using OnChange = std::function<void(const StoreChange&)>;
  using OnBatch = std::function<void()>;

  /// A waiting watch counts as a call; a shorter wait finds a silent connection sooner.
  static constexpr Duration kWatchTime = std::chrono::milliseconds(2500);
  /// Changes that come close together are read in one call. A tenth of the time within which a
  /// configuration has to be in force at full size.
  static constexpr Duration kBatchTime = std::chrono::milliseconds(900);
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(800);

  /// `on_change` is called for each change, `on_batch` after all changes of one answer.
  StoreFollower(Store& store, WorkerPool& workers, EventLog& log, OnChange on_change,
                OnBatch on_batch)
      : store_(store),
        workers_(workers),
        log_(log),
        on_change_(std::move(on_change)),
        on_batch_(std::move(on_batch)) {}

  auto Start() -> void { CallNext(); }
  auto sync_state() const -> const StoreSyncState& { return sync_state_; }
  /// What another node has seen of the store.
  auto TakePeerState(StorePage state) -> std::size_t {
    const auto news = sync_state_.OnPeerState(std::move(state));
    for (const auto& change : news) on_change_(change);
    return news.size();
  }

 private:
  auto Now() const -> MonotonicTime { return SystemClock().Now(); }

  auto CallNext() -> void {
    const auto next = sync_state_.Next();
    if (next.list) {
      store_.List(next.after_key, [this](absl::StatusOr<StorePage> page) {
        if (!page.ok()) {
          OnFailure(page.status());
          return;
        }
        Apply(sync_state_.OnPage(*std::move(page), Now()));
      });
      return;
    }
    store_.Watch(next.after_revision, kWatchTime, [this](absl::StatusOr<StoreChanges> changes) {
      if (!changes.ok()) {
        OnFailure(changes.status());
        return;
      }
      Apply(sync_state_.OnChanges(*std::move(changes), Now()));
    });
  }

  auto Apply(const std::vector<StoreChange>& news) -> void {
    if (lost_) {
      lost_ = false;
      log_.Write(LogLevel::kInfo, "store-regained", {{"revision", sync_state_.revision()}});
    }
    pause_ = kFirstPause;
    for (const auto& change : news) on_change_(change);
    on_batch_();
    if (news.empty() || sync_state_.Next().list) {
      CallNext();
    } else {
      timer_ = workers_.RunAfter(kBatchTime, [this] { CallNext(); });
    }
  }

  auto OnFailure(const absl::Status& status) -> void {
    const bool history_gone = absl::IsOutOfRange(status);
    if (history_gone || !lost_) {
      log_.Write(LogLevel::kWarning, history_gone ? "store-history-gone" : "store-lost",
                 {{"revision", sync_state_.revision()}, {"error", std::string(status.message())}});
    }
    sync_state_.OnFailure(status, Now());
    if (history_gone) {
      CallNext();
      return;
    }
    lost_ = true;
    timer_ = workers_.RunAfter(pause_, [this] { CallNext(); });
    pause_ = std::min(pause_ * 2, kLongestPause);
  }

  Store& store_;
  WorkerPool& workers_;
  EventLog& log_;
  const OnChange on_change_;
  const OnBatch on_batch_;
  StoreSyncState sync_state_;
  bool lost_ = false;
  Duration pause_ = kFirstPause;
  std::shared_ptr<WorkerPool::Timer> timer_;
};

}  // namespace heatherspan
