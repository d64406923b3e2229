#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/crash_detector.h"
#include "gateway/crash_rate.h"
#include "gateway/crash_report.h"
#include "gateway/crash_suspects.h"
#include "gateway/entry_vm_directory.h"

namespace heatherspan {

/// Keeps requests that crash the targets which run them from going on to further targets, and
/// keeps those that happened to be at the same targets in service. The class does no I/O.
class HarmGuard {
 public:
  /// How the next attempt of a request is made.
  enum class Ruling {
    kSend,
    kSendApart,      ///< Preferably to a target without other suspects of this node.
    kSendOnlyApart,  ///< Not to a target that has another request of this node.
    kWait,           ///< Refuse for now: the request is at a target, whose answer will tell.
    kRefuse,         ///< Refuse for good.
  };

  /// A request whose standing has changed.
  struct Change {
    RequestDigest request;
    CrashSuspects::Standing standing = CrashSuspects::Standing::kClear;
    std::size_t crashes = 0;
    NodeName source;  ///< The VM whose report has changed it.
  };

  /// The VMs that gather the reports of one request while it has met a single crash.
  static constexpr std::size_t kKeepers = 6;

  /// Answers of requests that are not under suspicion, since a crash may become known later.
  static constexpr std::size_t kMaxAnswers = 512;
  static constexpr Duration kAnswerRetention = std::chrono::seconds(5);

  explicit HarmGuard(NodeName self) : self_(self), suspects_(std::move(self)) {}

  /// Whether no request is under suspicion, so that nothing has to be looked up.
  auto IsIdle() const -> bool { return suspects_.empty() && detector_.empty(); }
  auto Rule(const RequestDigest& request, const std::vector<EntryVm>& vms, MonotonicTime now) const
      -> Ruling;
  auto OnSent(const RequestDigest& request) -> void { ++at_targets_[request]; }
  /// The attempt that was told of by OnSent is over, whatever its outcome.
  auto OnAttemptOver(const RequestDigest& request) -> void;

  /// The target has closed the request's connection without an answer.
  auto OnLost(LostRequest lost) -> void;
  /// The target's machine refuses connections. `target_count`: of the target's service.
  auto OnRefused(const TargetName& target, std::size_t target_count, MonotonicTime now) -> void;
  /// The target refuses connections, whether this node has lost a request there or not.
  auto OnDown(const ServiceName& service, const TargetCrash& crash, std::size_t target_count,
              MonotonicTime now) -> void;
  /// The target has registered a start.
  auto OnStarted(const TargetName& target, std::int64_t start_id, std::size_t target_count,
                 MonotonicTime now) -> void;
  /// The target has answered something that was sent to it at the given time.
  auto OnTargetAnswered(const TargetName& target, MonotonicTime sent_at) -> void {
    detector_.OnAnswered(target, sent_at);
  }
  /// The request has been answered completely, or an operator vouches for it.
  auto OnRequestAnswered(const RequestDigest& request, MonotonicTime now) -> void;
  /// The request is over at this VM without an answer. It may come again at another one, which has
  /// to know of a crash that this VM has kept to itself while it repeated the request.
  auto OnRequestUnanswered(const RequestDigest& request, MonotonicTime now) -> void;
  /// Takes over what another VM tells. `service_of`: returns the service of a target, if known.
  template <class ServiceOf>
  auto OnReports(const std::vector<CrashReport>& reports, const ServiceOf& service_of,
                 MonotonicTime now) -> void {
    bool in_burst = false;
    for (const auto& report : reports) {
      if (!report.crash.has_value()) continue;
      const std::optional<ServiceName> service = service_of(report.crash->target);
      if (!service.has_value()) continue;
      exposures_.try_emplace(report.request, Exposure{*service, std::nullopt});
      if (report.age <= CrashRate::kBurstWindow) {
        rate_.OnCrash(*service, *report.crash, now - report.age);
        in_burst = in_burst || rate_.IsBurst(*service, now - report.age);
      }
    }
    TakeOver(reports, now);
    if (in_burst) RenewAllChances(now);
  }
  auto Reports(MonotonicTime now) const -> std::vector<CrashReport> {
    return suspects_.Reports(now);
  }
  auto Checksum() const -> std::uint64_t { return suspects_.Checksum(); }
  auto suspects() const -> const CrashSuspects& { return suspects_; }

  auto TakeChanges() -> std::vector<Change> { return std::exchange(changes_, {}); }
  /// Returns the VMs, without this node, to which the reports have to go at once. Others get them
  /// with the regular questions.
  auto TakeRecipients(const std::vector<EntryVm>& vms) -> std::vector<EntryVm>;

 private:
  auto OnCrash(const std::vector<LostRequest>& lost, std::size_t target_count, MonotonicTime now)
      -> void;
  auto TakeOver(const std::vector<CrashReport>& reports, MonotonicTime now) -> void;
  auto RenewChances(const RequestDigest& request) -> void;
  /// Renews those of the requests that may be condemned.
  auto RenewAllChances(MonotonicTime now) -> void;
  auto ForgetExposures() -> void;
  /// Takes over an answer that this node has got before it knew of a crash of the request.
  auto ApplyAnswer(const RequestDigest& request, MonotonicTime now) -> void;
  auto Note(const CrashReport& report, CrashSuspects::Standing before, MonotonicTime now) -> void;
  auto IsTrialVm(const RequestDigest& request, const std::vector<EntryVm>& vms) const -> bool;

  /// What a request's chance to meet a crash depends on.
  struct Exposure {
    ServiceName service;
    std::optional<std::size_t> target_count;  ///< Empty if this node has not lost the request.
  };

  NodeName self_;
  CrashDetector detector_;
  CrashRate rate_;
  CrashSuspects suspects_;
  absl::flat_hash_map<RequestDigest, Exposure> exposures_;
  absl::flat_hash_map<ServiceName, std::size_t> target_counts_;  ///< As last told.
  absl::flat_hash_map<RequestDigest, int> at_targets_;           ///< Attempts that are not over.
  std::deque<std::pair<RequestDigest, MonotonicTime>> answers_;
  std::vector<Change> changes_;
  std::vector<RequestDigest> for_keepers_;
  bool for_all_ = false;
};

}  // namespace heatherspan
