#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "base/random.h"
#include "experiment/event_scheduler.h"
#include "gateway/apartness.h"
#include "gateway/harm_guard.h"

namespace heatherspan {

/// Entry VMs and targets in virtual time. Some requests end each target that begins to run them
/// and come again at any VM; targets may also crash by themselves. VMs decide by HarmGuard and tell
/// each other with delays.
class HarmfulRequestSimulation {
 public:
  struct Options {
    std::size_t vm_count = 7;
    std::size_t targets_per_vm = 2;
    double requests_per_vm = 8;     ///< Innocent ones, per second.
    int harmful_requests = 1;       ///< Different ones.
    double harmful_per_second = 5;  ///< Of each.
    bool idempotent = true;         ///< Whether a VM repeats a lost request.
    double crash_share = 0;         ///< Of the targets, every four seconds, by themselves.
    bool guarded = true;            ///< False: without the cure.
    int max_attempts = 4;           ///< Of a request at one VM.
    int callers_retries = 0;        ///< Of an innocent request without an answer, at other VMs.
    int copies = 1;                 ///< Of each innocent request, sent to other VMs at once.
    double flapping_share = 0;      ///< Of the targets, which end a second after each start.
    std::uint64_t seed = 1;
  };

  struct Outcome {
    int targets_ended = 0;  ///< By harmful requests.
    /// Harmful requests sent over 1.5 s after their third crash, counted for each VM from when it
    /// could know: its own crashes at once, those of others once neither VM is cut off.
    int sent_late = 0;
    int sent_late_alone = 0;     ///< The same, by VMs that are cut off meanwhile.
    int sent_after_news = 0;     ///< Those sent over 0.3 s after it, by any VM.
    int innocent_condemned = 0;  ///< By VMs that hear the others; they may have heard a lone one.
    int innocent_held = 0;       ///< Those that are still condemned there 1.5 s later.
    int innocent_refused = 0;    ///< Refused for good, by any VM.
    int innocent_sent = 0;
    int innocent_served = 0;
    Duration slowest_spread{};  ///< From a third crash until all VMs in touch refuse.
  };

  explicit HarmfulRequestSimulation(const Options& options);

  auto RunFor(Duration duration) -> void;
  /// Cuts the VM off from all others, not from callers and targets.
  auto Cut(std::size_t vm, Duration time) -> void;
  auto Freeze(std::size_t vm, Duration time) -> void;
  /// Ends the VM's process. It has forgotten everything when it is back.
  auto Restart(std::size_t vm, Duration down) -> void;
  auto outcome() const -> const Outcome& { return outcome_; }
  /// Returns how many innocent requests are condemned now, summed over all VMs.
  auto InnocentHeldCondemned() const -> int;
  auto vm_count() const -> std::size_t { return vms_.size(); }

 private:
  struct Request {
    RequestDigest digest;
    std::optional<std::size_t> harmful;  ///< Its number.
    int attempts = 0;
    int callers_retries = 0;
  };
  struct Run {
    std::size_t vm = 0;
    std::uint64_t vm_start = 0;
    Request request;
    MonotonicTime sent_at;
    std::uint64_t number = 0;
  };
  struct Target {
    TargetCrash start;
    bool up = true;
    std::vector<Run> runs;
  };
  struct Vm {
    EntryVm entry;
    std::unique_ptr<HarmGuard> guard;
    std::uint64_t start = 1;
    MonotonicTime well_since{};  ///< Neither down, frozen nor cut off.
    MonotonicTime back_at{};     ///< Down or frozen until then.
    MonotonicTime cut_until{};
    bool searching = false;  ///< The VM has missed news, and asks several peers.
    std::size_t next_peer = 0;
    absl::flat_hash_map<std::size_t, MonotonicTime> blocked;
    absl::flat_hash_set<std::size_t> telling;  ///< Peers that are about to be told.
    absl::flat_hash_map<std::size_t, int> in_flight;
    absl::flat_hash_map<std::size_t, Apartness> reserved;
  };
  /// The end of a target by a request that the VM had sent.
  struct HarmfulCrash {
    std::size_t vm = 0;
    MonotonicTime at;
    MonotonicTime told_at;  ///< When other VMs could know.
  };
  /// A harmful request.
  struct Harm {
    RequestDigest digest;
    std::vector<HarmfulCrash> crashes;
    MonotonicTime third_crash_at{};
    bool spread = false;
  };

  auto now() const -> MonotonicTime { return scheduler_.now(); }
  auto Draw(double from, double to) -> double;
  auto Delay() -> Duration;
  auto IsWell(const Vm& vm) const -> bool { return now() >= vm.back_at && now() >= vm.cut_until; }
  auto NextInnocent(std::size_t vm) -> void;
  auto NextHarmful(std::size_t number) -> void;
  auto NextQuestion(std::size_t vm) -> void;
  auto NextCrashes() -> void;
  auto NextFlap(std::size_t target) -> void;
  auto Send(std::size_t vm, Request request) -> void;
  auto ChooseTarget(const Vm& vm, Apartness apartness) -> std::optional<std::size_t>;
  auto OnArrival(std::size_t target, const Run& run) -> void;
  auto OnServed(std::size_t target, const Run& run) -> void;
  auto Crash(std::size_t target) -> void;
  auto OnLost(std::size_t target, const TargetCrash& start, const Run& run) -> void;
  auto OnRefused(std::size_t target, const Run& run) -> void;
  /// The VM sends the request to no further target.
  auto OnUnanswered(std::size_t vm, const Request& request) -> void;
  auto OnAttemptOver(std::size_t target, const Run& run) -> Vm*;
  auto Exchange(std::size_t from, std::size_t to) -> void;
  /// Returns when the VM could know of the third crash.
  auto ThirdCrashKnownAt(const Harm& harm, std::size_t vm) const -> MonotonicTime;
  auto IsHarmful(const RequestDigest& request) const -> bool;
  auto Tell(std::size_t from, std::size_t to) -> void;
  auto IndexOf(const EntryVm& entry) const -> std::size_t;
  auto Publish(std::size_t vm) -> void;
  auto CheckSpread() -> void;

  Options options_;
  Random random_;
  EventScheduler scheduler_{MonotonicTime(std::chrono::hours(1))};
  std::vector<Vm> vms_;
  std::vector<EntryVm> entries_;
  std::vector<Target> targets_;
  std::vector<Harm> harms_;
  Outcome outcome_;
  std::uint64_t last_run_ = 0;
};

}  // namespace heatherspan
