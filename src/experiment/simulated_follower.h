#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/time.h"
#include "edge/store_follower.h"
#include "experiment/virtual_workers.h"
#include "gateway/pending_removals.h"
#include "gateway/store_snapshot.h"
#include "observe/event_log.h"

namespace heatherspan {

class StoreSpreadSimulation;

/// One life of a simulated VM's process: the gateway's follower of the store, and the items that it
/// has applied.
class SimulatedFollower : public std::enable_shared_from_this<SimulatedFollower> {
 public:
  /// The VM's way to the store.
  class Store {
   public:
    using PageCallback = std::function<void(absl::StatusOr<StorePage>)>;
    using ChangesCallback = std::function<void(absl::StatusOr<StoreChanges>)>;

    Store(StoreSpreadSimulation& simulation, std::size_t vm) : simulation_(simulation), vm_(vm) {}

    auto List(const std::string& after_key, PageCallback callback) -> void;
    auto Watch(std::uint64_t after, Duration wait, ChangesCallback callback) -> void;
    auto IsReceiving() const -> bool;

   private:
    StoreSpreadSimulation& simulation_;
    const std::size_t vm_;
  };
  using Follower = StoreFollower<Store, VirtualWorkers>;

  SimulatedFollower(StoreSpreadSimulation& simulation, std::size_t vm, EventLog& log,
                    std::function<MonotonicTime()> now, StoreReadTiming timing);
  SimulatedFollower(const SimulatedFollower&) = delete;
  auto operator=(const SimulatedFollower&) -> SimulatedFollower& = delete;

  auto Start() -> void { follower_.Start(); }
  auto follower() -> Follower& { return follower_; }
  auto state() const -> const StoreSyncState& { return follower_.sync_state(); }
  auto running() const -> Duration { return workers_.Now() - started_at_; }
  auto snapshot() const -> const StoreSnapshot& { return snapshot_; }
  /// The number of the last write of each present item.
  auto items() const -> const std::map<std::string, std::uint64_t>& { return items_; }
  auto IsRemovalPending(const std::string& key) const -> bool {
    return pending_removals_.Contains(TargetName(key));
  }

 private:
  auto OnChange(const StoreChange& change, bool unconfirmed) -> void;
  auto OnRestored() -> void;
  auto OnBatchApplied() -> void;

  StoreSpreadSimulation& simulation_;
  Store store_;
  VirtualWorkers workers_;
  const MonotonicTime started_at_;
  StoreSnapshot snapshot_;
  std::map<std::string, std::uint64_t> items_;
  PendingRemovals<TargetName> pending_removals_;
  std::map<std::string, std::uint64_t> highest_;  ///< Highest revision applied, by key.
  Follower follower_;
};

}  // namespace heatherspan
