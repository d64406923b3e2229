#include "experiment/simulated_follower.h"

#include <algorithm>
#include <utility>

#include "base/number_text.h"
#include "experiment/store_spread_simulation.h"

namespace heatherspan {

auto SimulatedFollower::Store::List(const std::string& after_key, PageCallback callback) -> void {
  simulation_.List(vm_, after_key, std::move(callback));
}

auto SimulatedFollower::Store::Watch(std::uint64_t after, Duration wait, ChangesCallback callback)
    -> void {
  simulation_.WatchStore(vm_, after, wait, std::move(callback));
}

auto SimulatedFollower::Store::IsReceiving() const -> bool { return simulation_.IsReceiving(vm_); }

SimulatedFollower::SimulatedFollower(StoreSpreadSimulation& simulation, std::size_t vm,
                                     EventLog& log, std::function<MonotonicTime()> now,
                                     StoreReadTiming timing)
    : simulation_(simulation),
      store_(simulation, vm),
      workers_(std::move(now),
               [this, vm](Duration delay, VirtualWorkers::Task task) {
                 simulation_.RunAt(vm, weak_from_this(), delay, std::move(task));
               }),
      started_at_(workers_.Now()),
      follower_(
          store_, workers_, log,
          [this](const StoreChange& change, bool unconfirmed) { OnChange(change, unconfirmed); },
          [this] { OnBatchApplied(); }, [this] { OnRestored(); }) {
  follower_.SetTiming(timing);
}

auto SimulatedFollower::OnChange(const StoreChange& change, bool unconfirmed) -> void {
  auto& highest = highest_[change.key];
  if (change.revision < highest) ++simulation_.reversals_;
  highest = std::max(highest, change.revision);
  if (change.value.has_value()) {
    items_[change.key] = ParseNumber<std::uint64_t>(*change.value).value_or(0);
    pending_removals_.Remove(TargetName(change.key));
  } else {
    items_.erase(change.key);
    if (unconfirmed) pending_removals_.Add(TargetName(change.key), workers_.Now());
  }
  snapshot_.Apply(change);
}

auto SimulatedFollower::OnRestored() -> void {
  snapshot_.BeginEra();
  highest_.clear();
}

auto SimulatedFollower::OnBatchApplied() -> void {
  snapshot_.EndOfNewState();
  pending_removals_.Take(state().removals_certain_until(), workers_.Now());
}

}  // namespace heatherspan
