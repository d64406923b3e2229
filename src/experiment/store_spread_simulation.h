#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/random.h"
#include "base/time.h"
#include "experiment/event_scheduler.h"
#include "gateway/answer_budget.h"
#include "gateway/large_answer_turn.h"
#include "gateway/peer_selection.h"
#include "gateway/store_changes.h"
#include "observe/event_log.h"

namespace heatherspan {

class SimulatedFollower;

/// A store and the entry VMs that follow it, in virtual time, by the code of the gateway. The load
/// pattern: items are written and removed all the time, while the store turns
/// some VMs away, leaves their calls without an answer, drops its history, and VMs are cut off from
/// each other, freeze and restart.
class StoreSpreadSimulation {
 public:
  /// How the store turns a call away at once.
  enum class Refusal {
    kNone,
    kBusy,   ///< By an answer, which tells its era.
    kReset,  ///< By ending the connection.
  };

  /// What a VM can reach. Both hold in both directions.
  struct Reach {
    bool store = true;  ///< Otherwise calls have no answer.
    Refusal refusal = Refusal::kNone;
    bool peers = true;
    bool frozen = false;
  };

  struct Options {
    std::size_t vm_count = 7;
    std::size_t region_count = 3;
    std::size_t zones_per_region = 2;
    bool peers_ask = true;  ///< Otherwise each VM knows only what it reads from the store.
    /// The time within which a change has to be known everywhere.
    Duration change_bound = std::chrono::milliseconds(2500);
    /// What each VM's link carries in each direction, of answers. Zero: without a limit.
    std::size_t link_bytes_per_second = 0;
    /// The first VMs have links of 20 times that rate.
    std::size_t fast_vms = 0;
    /// The size of a large item in a peer's answer, as a fraction of that in the store's.
    double packed_fraction = 1;
    std::uint64_t seed = 1;
  };

  explicit StoreSpreadSimulation(const Options& options);
  ~StoreSpreadSimulation();
  StoreSpreadSimulation(const StoreSpreadSimulation&) = delete;
  auto operator=(const StoreSpreadSimulation&) -> StoreSpreadSimulation& = delete;

  /// `bytes`: what the item adds to an answer, unless that is too little to matter.
  auto Put(const std::string& key, std::size_t bytes = 0) -> void;
  auto Remove(const std::string& key) -> void;
  /// Drops the history: a watch after an older revision fails.
  auto DropHistory() -> void { history_start_ = revision_; }
  /// Brings the store back as it was some time ago. What was written since is gone, and its
  /// revisions are given out again.
  auto Restore(Duration age) -> void;
  auto SetReach(std::size_t vm, Reach reach) -> void { vms_[vm].reach = reach; }
  /// Starts the VM's process anew, without any state.
  auto Restart(std::size_t vm) -> void;
  auto RunFor(Duration duration) -> void { scheduler_.RunUntil(scheduler_.now() + duration); }

  auto now() const -> MonotonicTime { return scheduler_.now(); }
  auto vm_count() const -> std::size_t { return vms_.size(); }
  auto reach(std::size_t vm) const -> const Reach& { return vms_[vm].reach; }
  auto IsReader(std::size_t vm) const -> bool { return SelectPeersOf(vm).is_reader; }
  /// The number of the key's last write that the VM knows, or 0.
  auto WriteAt(std::size_t vm, const std::string& key) const -> std::uint64_t;
  /// Whether the item is present at the VM, or its removal is in doubt.
  auto Uses(std::size_t vm, const std::string& key) const -> bool;
  /// The number of the last write of each present item at the VM, and in the store.
  auto ItemsAt(std::size_t vm) const -> std::map<std::string, std::uint64_t>;
  auto StoreItems() const -> std::map<std::string, std::uint64_t>;
  /// How often a VM applied an older revision of an item after a newer one in one life.
  auto reversals() const -> int { return reversals_; }
  auto store_calls() const -> int { return store_calls_; }
  /// What peers' answers have put on the VM's link, in the direction with more.
  auto peer_bytes(std::size_t vm) const -> std::size_t {
    return std::max(vms_[vm].peer_bytes_in, vms_[vm].peer_bytes_out);
  }
  /// How often a VM with an old state asked its peers.
  auto old_states() const -> int { return old_states_; }

 private:
  friend class SimulatedFollower;

  struct Vm {
    Reach reach;
    std::shared_ptr<SimulatedFollower> process;
    MonotonicTime link_busy_until{};  ///< By answers to the VM, one after the other.
    MonotonicTime link_out_busy_until{};
    std::size_t peer_bytes_in = 0;
    std::size_t peer_bytes_out = 0;
    LargeAnswerTurn turn;
    AnswerBudget budget{0};
    std::map<std::size_t, MonotonicTime> asked;  ///< Peers that have yet to answer, and since when.
  };

  struct Event {
    StoreChange change;
    MonotonicTime made_at;
    std::size_t bytes = 0;
  };

  /// A call of a VM's process to the store.
  struct Call {
    std::size_t vm = 0;
    std::weak_ptr<SimulatedFollower> process;
    MonotonicTime made_at;
    MonotonicTime deadline;
  };
  using OnPage = std::function<void(absl::StatusOr<StorePage>)>;
  using OnChanges = std::function<void(absl::StatusOr<StoreChanges>)>;
  /// A watch that the store answers at the next change.
  struct Watch {
    Call call;
    std::uint64_t after_revision = 0;
    OnChanges on_changes;
  };

  auto Write(StoreChange change, std::size_t bytes) -> void;
  auto Name(std::size_t vm) const -> std::string;
  auto Region(std::size_t vm) const -> std::size_t { return vm % options_.region_count; }
  auto Zone(std::size_t vm) const -> std::size_t {
    return vm % (options_.region_count * options_.zones_per_region);
  }
  auto SelectPeersOf(std::size_t vm) const -> PeerSelection;
  static auto Delay(std::size_t from_region, std::size_t to_region) -> Duration;

  auto IsReceiving(std::size_t vm) const -> bool { return vms_[vm].link_busy_until > now(); }
  auto List(std::size_t vm, const std::string& after_key, OnPage on_page) -> void;
  auto WatchStore(std::size_t vm, std::uint64_t after, Duration wait, OnChanges on_changes) -> void;
  /// Fails the call as the VM's reach says. Returns false if the store serves it.
  auto FailCall(const Call& call, std::function<void()> fail) -> bool;
  auto PageAfter(const std::string& key) const -> StorePage;
  auto AnswerWatch(const Watch& watch) -> void;
  /// Delivers an answer of the store, which tells the store's era.
  auto Answer(const Call& call, std::function<void()> apply, Duration transfer_time = {}) -> void;
  /// Delivers an answer of that size over the VM's link, or the failure of a call that ends before.
  template <class Callback, class Result>
  auto Transfer(const Call& call, std::size_t bytes, Callback callback, Result result) -> void;
  template <class Changes>
  auto SizeOf(const Changes& changes) const -> std::size_t;
  auto OnStoreChanged() -> void;
  /// Reads a peer's whole state if the VM needs one, and looks again later.
  auto ReadPeerState(std::size_t vm) -> void;
  auto AskPeers(std::size_t vm) -> void;
  /// `is_large`: the peer may give a large answer.
  auto AskPeer(std::size_t vm, const Endpoint& peer, bool is_large) -> void;
  /// What the answer of a peer to a VM takes on both links until the deadline, or nothing if that
  /// is not enough.
  auto PeerTransferTime(std::size_t from, std::size_t to, std::size_t bytes, MonotonicTime deadline)
      -> std::optional<Duration>;
  /// In bytes a second.
  auto LinkRate(std::size_t vm) const -> double;
  auto LinkTime(std::size_t vm, std::size_t bytes) const -> Duration;
  auto IndexOf(const Endpoint& endpoint) const -> std::size_t;
  /// Runs the task at a VM's process after the delay, once the VM is not frozen and if the process
  /// still runs.
  auto RunAt(std::size_t vm, std::weak_ptr<SimulatedFollower> process, Duration delay,
             std::function<void()> task) -> void;

  Options options_;
  Random random_;
  EventScheduler scheduler_;
  EventLog log_;
  std::vector<Vm> vms_;
  std::map<std::string, StoreChange> store_items_;
  std::map<std::uint64_t, Event> history_;  ///< By revision.
  std::map<std::uint64_t, Watch> watches_;  ///< Waiting for a change, by number.
  std::uint64_t last_watch_ = 0;
  std::uint64_t last_write_ = 0;
  std::uint64_t revision_ = 1;
  StoreEra era_{1};
  std::uint64_t history_start_ = 0;
  int reversals_ = 0;
  int store_calls_ = 0;
  int old_states_ = 0;
};

}  // namespace heatherspan
