#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "gateway/gateway_core.h"

namespace heatherspan {

/// Entry VMs in virtual time, driven by the gateway's decisions, whose callers all want one target.
/// The target names a limit from a moment on. VMs know of each other through announcements, which
/// arrive late, end some time after their VM, and don't reach VMs that are cut off.
class LimitedTargetSimulation {
 public:
  struct Options {
    std::size_t vm_count = 7;
    double limit = 1;
    double demand = 3;  ///< Requests per second of each VM.
    std::uint64_t seed = 1;
  };

  struct Sent {
    MonotonicTime at;
    bool told = false;  ///< The VM had an answer with the limit half a second ago or earlier.
  };

  explicit LimitedTargetSimulation(const Options& options);

  auto RunFor(Duration duration) -> void;
  auto SetLimited(bool limited) -> void { limited_ = limited; }
  auto Kill(std::size_t vm, Duration down) -> void;
  auto Freeze(std::size_t vm, Duration time) -> void { vms_[vm].frozen_until = now_ + time; }
  /// Cuts the VM off from the store and all other VMs, not from its callers and the target.
  auto Cut(std::size_t vm, Duration time) -> void { vms_[vm].cut_until = now_ + time; }
  auto Add() -> void;

  auto now() const -> MonotonicTime { return now_; }
  auto vm_count() const -> std::size_t { return vms_.size(); }
  auto sent() const -> const std::vector<Sent>& { return sent_; }
  /// Returns the most requests that told VMs sent in some span of four seconds.
  auto MostInFourSeconds() const -> int;
  /// Returns the largest sum of the shares of all VMs that could send at one time.
  auto LargestShareSum() const -> double { return largest_share_sum_; }
  /// Returns the requests of all VMs in the last span of the given length.
  auto SentInLast(Duration span) const -> int;

 private:
  /// A change of an announcement on its way to one VM.
  struct News {
    MonotonicTime at;
    std::size_t vm = 0;
    bool announced = false;
  };
  struct Answer {
    MonotonicTime at;
    ForwardedRequest request;
    Attempt attempt;
  };
  struct Vm {
    EntryVm entry;
    std::unique_ptr<GatewayCore> core;  ///< Null while the process is down.
    std::deque<News> news;
    std::vector<Answer> answers;
    MonotonicTime starts_at{};
    MonotonicTime frozen_until{};
    MonotonicTime cut_until{};
    MonotonicTime renewed_at{};
    MonotonicTime next_tick{};
    MonotonicTime told_at = MonotonicTime::max();
    bool announced = false;  ///< In the store.
  };

  auto Start(std::size_t vm) -> void;
  auto Step() -> void;
  /// Exchanges what is known of limits with a random VM.
  auto TellOfLimits(std::size_t vm) -> void;
  auto ShareSum() -> double;
  auto StepStore(std::size_t vm) -> void;
  auto StepVm(std::size_t vm) -> void;
  auto Spread(std::size_t vm, bool announced) -> void;
  auto SendRequest(Vm& vm) -> void;

  Options options_;
  Random random_;
  MonotonicTime now_ = MonotonicTime(std::chrono::hours(1));
  std::vector<Vm> vms_;
  std::vector<Sent> sent_;
  std::uint64_t last_request_ = 0;
  double largest_share_sum_ = 0;
  bool limited_ = true;
};

}  // namespace heatherspan
