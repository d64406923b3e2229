#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

#include "base/boot_time.h"
#include "base/task_runner.h"
#include "edge/platform_ports.h"
#include "gateway/store_reader_role.h"
#include "gateway/store_sync_state.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Follows the store: lists it once, then watches for changes, and lists it again when the store no
/// longer has the history of changes since the last one seen, or when that is too large. A second
/// call is outstanding only while the answer to a watch is overdue. After the first listing, a node
/// reads the store only as long as that is its role.
template <ReadableStore Store, TaskRunner Workers = WorkerPool>
class StoreFollower {
 public:
  /// `unconfirmed`: if the item was removed, its owner may still run.
  using OnChange = std::function<void(const StoreChange&, bool unconfirmed)>;
  using OnBatchApplied = std::function<void()>;
  /// The changes that follow are the whole state of a store that is back from an older copy.
  using OnRestored = std::function<void()>;

  /// A watch of whose answer nothing has arrived so long after its wait is made again beside the
  /// first one: the answer may be lost, or the connection silent.
  static constexpr Duration kOverdueTime = std::chrono::milliseconds(500);
  /// How often a node that doesn't read the store looks whether it has to.
  static constexpr Duration kRoleCheckInterval = std::chrono::milliseconds(100);
  /// The wait of a watch that is made for a proof, so that a store whose answers prove nothing is
  /// not called all the time.
  static constexpr Duration kMinProofWait = std::chrono::milliseconds(100);
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);

  /// `on_change` is called for each change, `on_batch_applied` after all changes of one response.
  StoreFollower(Store& store, Workers& workers, EventLog& log, OnChange on_change,
                OnBatchApplied on_batch_applied, OnRestored on_restored)
      : store_(store),
        workers_(workers),
        log_(log),
        on_change_(std::move(on_change)),
        on_batch_applied_(std::move(on_batch_applied)),
        on_restored_(std::move(on_restored)) {}

  auto Start() -> void { CallNext(); }
  auto SetTiming(StoreReadTiming timing) -> void {
    role_.SetTiming(timing);
    sync_state_.SetMaxGap(timing.max_answer_gap());
  }
  auto role() -> StoreReaderRole& { return role_; }
  auto role() const -> const StoreReaderRole& { return role_; }
  auto sync_state() const -> const StoreSyncState& { return sync_state_; }
  /// Applies a peer's complete listing of the store. Returns the number of changes.
  auto ApplyPeerState(StorePage state) -> std::size_t {
    const MonotonicTime now = Now();
    const auto changes = sync_state_.OnPeerState(std::move(state), now);
    ApplyAll(changes, true);
    return changes.size();
  }
  /// An answer of the store, of any kind, belongs to the era. Called before the answer is used.
  auto OnStoreEra(StoreEra era, MonotonicTime called_at) -> void {
    if (sync_state_.OnStoreEra(era, called_at, Now())) ReadOtherEra("store", era);
  }
  /// A peer's question or answer belongs to the era.
  auto OnPeerEra(StoreEra era) -> void {
    if (sync_state_.OnPeerEra(era, Now())) ReadOtherEra("peer", era);
  }
  /// Applies changes that a peer has read. Returns the number of changes.
  auto ApplyPeerChanges(StoreChanges changes) -> std::size_t {
    const MonotonicTime now = Now();
    const auto new_changes = sync_state_.OnPeerChanges(std::move(changes), now);
    if (!new_changes.empty()) ApplyAll(new_changes, sync_state_.RemovalsUnconfirmed());
    return new_changes.size();
  }

 private:
  auto Now() const -> MonotonicTime { return workers_.Now(); }

  /// How long the state is proved well enough.
  auto ProofLeft() const -> Duration {
    const auto limit = role_.timing().max_proved_age;
    if (limit == Duration::max()) return limit;
    return limit - (BootClock().Now() - sync_state_.proved_at());
  }

  auto CallNext() -> void {
    const auto now = Now();
    const bool is_listing = sync_state_.Next().list;
    const auto proof_left = ProofLeft();
    const bool reads =
        is_listing || role_.ReadsStore(sync_state_.Age(now), now) || proof_left <= Duration::zero();
    if (reads != std::exchange(reads_, reads)) {
      log_.Write(
          LogLevel::kInfo, "store-reading",
          {{"reads", reads ? 1 : 0},
           {"revision", sync_state_.revision()},
           {"age_ms",
            std::chrono::duration_cast<std::chrono::milliseconds>(sync_state_.Age(now)).count()}});
    }
    if (!reads) {
      timer_ = workers_.RunAfter(kRoleCheckInterval, [this] { CallNext(); });
      return;
    }
    const auto call = ++last_call_;
    const auto next = sync_state_.Next();
    const auto listing = sync_state_.listing_number();
    if (next.list) {
      store_.List(next.after_key,
                  [this, call, listing, called_at = now](absl::StatusOr<StorePage> page) {
                    if (!page.ok()) {
                      OnFailure(call, page.status());
                      return;
                    }
                    if (listing != sync_state_.listing_number()) {
                      OnUnused(call, listing);
                      return;
                    }
                    LogListing(*page);
                    page->age = Now() - called_at;
                    Apply(call, sync_state_.OnPage(*std::move(page), Now()));
                  });
      return;
    }
    // Each watch counts as a call to the store, also one that only waits.
    const auto interval = role_.timing().answer_interval;
    const auto wait =
        std::clamp(std::min(interval - sync_state_.Age(now), std::max(proof_left, kMinProofWait)),
                   Duration::zero(), interval);
    // The store is known not to answer while calls fail one after the other.
    if (!lost_) {
      timer_ = workers_.RunAfter(wait + kOverdueTime, [this, call] { OnOverdue(call); });
    }
    store_.Watch(
        next.after_revision, wait,
        [this, call, listing, wait, called_at = now](absl::StatusOr<StoreChanges> changes) {
          if (!changes.ok()) {
            OnFailure(call, changes.status());
            return;
          }
          if (listing != sync_state_.listing_number()) {
            OnUnused(call, listing);
            return;
          }
          // An overdue answer was made at any time since the call.
          const auto seen_at = call == last_call_ ? Now() : called_at;
          // One without changes was made at the end of its wait, any other one at any time
          // since the call, however long it was on its way.
          const auto made_at = changes->changes.empty() ? called_at + wait : called_at;
          changes->age = std::max(seen_at - made_at, Duration::zero());
          Apply(call, sync_state_.OnChanges(*std::move(changes), seen_at));
        });
  }

  /// The answer belongs to the listing or the era before. A peer's state may have begun the present
  /// one beside the call, so that nobody else makes the next.
  auto OnUnused(std::uint64_t call, std::uint64_t listing) -> void {
    log_.Write(LogLevel::kInfo, "store-answer-unused",
               {{"call", call},
                {"last_call", last_call_},
                {"listing", listing},
                {"last_listing", sync_state_.listing_number()},
                {"era", sync_state_.era().value()}});
    if (call == last_call_) CallNext();
  }

  auto LogListing(const StorePage& page) -> void {
    if (page.more) return;
    log_.Write(LogLevel::kInfo, "store-listed",
               {{"store_revision", page.revision},
                {"era", page.era.value()},
                {"revision", sync_state_.revision()}});
  }

  auto OnOverdue(std::uint64_t call) -> void {
    if (call != last_call_ || lost_) return;
    // A second answer would only take its part of the link. The call has its own timeout.
    if (store_.IsReceiving()) {
      timer_ = workers_.RunAfter(kOverdueTime, [this, call] { OnOverdue(call); });
      return;
    }
    log_.Write(LogLevel::kWarning, "store-answer-overdue", {{"revision", sync_state_.revision()}});
    sync_state_.OnOverdue();
    CallNext();
  }

  /// Applies the answer to a call. The call that was made last decides about the next one.
  auto Apply(std::uint64_t call, const std::vector<StoreChange>& changes) -> void {
    if (lost_) {
      lost_ = false;
      log_.Write(LogLevel::kInfo, "store-regained", {{"revision", sync_state_.revision()}});
    }
    backoff_ = kMinBackoff;
    // The removals in an overdue answer may have been made in an outage since the call.
    ApplyAll(changes, call != last_call_ || sync_state_.RemovalsUnconfirmed());
    last_answered_ = std::max(last_answered_, call);
    if (call != last_call_) return;
    if (changes.empty() || sync_state_.Next().list) {
      CallNext();
    } else {
      // An answer that shows that the state is young comes before it has to be.
      const auto age_left = role_.timing().answer_interval - sync_state_.Age(Now());
      const auto delay = std::clamp(age_left, Duration::zero(), role_.timing().batch_delay);
      timer_ = workers_.RunAfter(delay, [this] { CallNext(); });
    }
  }

  /// A call that is outstanding belongs to the era before; its answer is not used.
  auto ReadOtherEra(const char* source, StoreEra era) -> void {
    log_.Write(LogLevel::kWarning, "store-restored",
               {{"source", source},
                {"era", era.value()},
                {"before", sync_state_.era().value()},
                {"revision", sync_state_.revision()}});
    CallNext();
  }

  auto ApplyAll(const std::vector<StoreChange>& changes, bool unconfirmed) -> void {
    const auto before = std::exchange(replacements_, sync_state_.replacements());
    if (before != replacements_ && has_state_) on_restored_();
    has_state_ = sync_state_.synced();
    for (const auto& change : changes) on_change_(change, unconfirmed);
    on_batch_applied_();
  }

  auto OnFailure(std::uint64_t call, const absl::Status& status) -> void {
    if (call != last_call_) {
      OnOverdueFailure(call, status);
      return;
    }
    const bool needs_listing = sync_state_.NeedsListing(status);
    if (needs_listing || !lost_) {
      log_.Write(LogLevel::kWarning, EventOf(status, needs_listing),
                 {{"revision", sync_state_.revision()}, {"error", std::string(status.message())}});
    }
    sync_state_.OnFailure(status);
    if (needs_listing) {
      CallNext();
      return;
    }
    lost_ = true;
    timer_ = workers_.RunAfter(backoff_, [this] { CallNext(); });
    backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  }

  static auto EventOf(const absl::Status& status, bool needs_listing) -> const char* {
    if (!needs_listing) return "store-lost";
    return absl::IsOutOfRange(status) ? "store-history-gone" : "store-changes-too-large";
  }

  /// A watch has failed beside which another call has been made. The store is lost if it has
  /// answered neither. A listing that has begun meanwhile goes on.
  auto OnOverdueFailure(std::uint64_t call, const absl::Status& status) -> void {
    if (lost_ || call < last_answered_ || sync_state_.Next().list ||
        sync_state_.NeedsListing(status)) {
      return;
    }
    log_.Write(LogLevel::kWarning, "store-lost",
               {{"revision", sync_state_.revision()}, {"error", std::string(status.message())}});
    sync_state_.OnFailure(status);
    lost_ = true;
  }

  Store& store_;
  Workers& workers_;
  EventLog& log_;
  const OnChange on_change_;
  const OnBatchApplied on_batch_applied_;
  const OnRestored on_restored_;
  StoreSyncState sync_state_;
  StoreReaderRole role_;
  std::uint64_t last_call_ = 0;
  std::uint64_t last_answered_ = 0;
  std::uint64_t replacements_ = 0;  ///< That have been applied.
  bool has_state_ = false;
  bool reads_ = true;
  bool lost_ = false;
  Duration backoff_ = kMinBackoff;
  std::shared_ptr<typename Workers::Timer> timer_;
};

}  // namespace heatherspan
