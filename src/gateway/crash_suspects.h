#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/crash_report.h"
#include "gateway/request_digest.h"

namespace heatherspan {

/// The requests that were at targets when these crashed, as far as this node has seen or heard.
/// Usually one request ends a target, and the others that it had are innocent: a complete answer
/// anywhere clears a request, and crashes count only as far as neither chance nor another request
/// that has met as many explains them.
class CrashSuspects {
 public:
  /// What may be done with a request.
  enum class Standing {
    kClear,
    kSuspected,  ///< At one crash.
    kProbable,   ///< At several crashes, without an answer since the first.
    kCondemned,  ///< It ends the targets that run it, and is not sent.
    kOnTrial,    ///< Condemned, but a target's new version may have mended the fault.
  };

  struct Entry {
    RequestDigest request;
    Standing standing = Standing::kClear;
    std::size_t crashes = 0;
    double chance = 1;  ///< The probability that it has met all of them by chance.
  };

  /// A crash that counts against a request.
  struct Evidence {
    TargetCrash crash;
    MonotonicTime at;
    Duration at_target{};
    double chance = 1;
    NodeName observer;
    bool is_explained = false;  ///< By another request.
  };

  static constexpr std::size_t kMinCrashes = 3;
  /// Requests that meet so many crashes in a row are not sent again, whatever the rate of crashes.
  static constexpr std::size_t kCertainCrashes = 6;
  /// Below this chance the crashes are put down to the request.
  static constexpr double kMaxChance = 1e-7;
  /// What was heard of longer ago is forgotten, except for condemned requests.
  static constexpr Duration kRetention = std::chrono::seconds(60);
  /// The time from a crash to a trial. It doubles with each crash of a condemned request.
  static constexpr Duration kFirstTrialPause = std::chrono::seconds(60);
  static constexpr Duration kMaxTrialPause = std::chrono::minutes(16);
  static constexpr std::size_t kMaxRequests = 512;
  static constexpr std::size_t kMaxCrashesKept = 24;
  /// Of one message, of which at most kMaxAnswers are answers.
  static constexpr std::size_t kMaxReports = 32;
  static constexpr std::size_t kMaxAnswers = 8;
  /// An answer is told for so long; whoever does not hear of it hears of it with the next one.
  static constexpr Duration kAnswerRetention = std::chrono::seconds(2);

  explicit CrashSuspects(NodeName self) : self_(std::move(self)) {}

  /// Takes over a crash or an answer. A crash counts once, however many VMs tell of it. Returns
  /// whether it changes what is known.
  auto OnReport(const CrashReport& report, MonotonicTime now) -> bool;
  /// Renews this node's estimates for the crashes of the request, since more is known of this and
  /// of other requests. What another VM has told of a crash that it has seen counts if it is more:
  /// each knows a part of the crashes. `estimate`: returns the chance from the time at the target,
  /// the time of the crash and whether this node has seen it. `has_lost`: whether the request was
  /// lost by this process, not by one before a restart.
  template <class Estimate>
  auto RenewChances(const RequestDigest& request, bool has_lost, Estimate estimate) -> void {
    const auto found = suspects_.find(request);
    if (found == suspects_.end()) return;
    for (auto& seen : found->second.crashes) {
      const bool is_own = has_lost && seen.observer == self_;
      seen.chance = estimate(seen.at_target, seen.at, is_own);
      if (!is_own) seen.chance = std::max(seen.chance, seen.told_chance);
    }
  }

  auto StandingOf(const RequestDigest& request, MonotonicTime now) const -> Standing;
  auto CrashesOf(const RequestDigest& request) const -> std::vector<TargetCrash>;
  auto CrashCountOf(const RequestDigest& request) const -> std::size_t {
    const auto found = suspects_.find(request);
    return found == suspects_.end() ? 0 : found->second.crashes.size();
  }
  auto EvidenceOf(const RequestDigest& request) const -> std::vector<Evidence>;
  /// Returns what others have to know: the crashes of requests that are more than suspected or that
  /// other VMs may get next, and recent answers. Requests that were heard of lately go first, then
  /// those with the most crashes. Each is told with enough crashes to condemn it before any is told
  /// with more.
  auto Reports(MonotonicTime now) const -> std::vector<CrashReport>;
  /// Returns a number that differs if the reported crashes do.
  auto Checksum() const -> std::uint64_t;
  /// Makes the request one that others have to know of.
  auto Share(const RequestDigest& request) -> void;
  auto Entries(MonotonicTime now) const -> std::vector<Entry>;
  auto empty() const -> bool { return suspects_.empty(); }

 private:
  struct Seen {
    TargetCrash crash;
    MonotonicTime at;
    Duration at_target{};
    double chance = 1;
    double told_chance = 1;  ///< By the observer.
    NodeName observer;
    MonotonicTime heard_at;
  };
  struct Suspect {
    std::vector<Seen> crashes;  ///< Since the last answer.
    std::optional<MonotonicTime> answered_at;
    NodeName answered_by;
    MonotonicTime heard_at;
    bool is_shared = false;  ///< Others know of it, or have to.
  };

  static auto ChanceOf(const std::vector<Seen>& crashes) -> double;
  auto IsCondemned(const Suspect& suspect) const -> bool;
  /// Whether another request that has met at least as many crashes was at this one. Between two
  /// that have met the same, the next crash or answer decides.
  auto IsExplained(const TargetCrash& crash, const Suspect& suspect) const -> bool;
  auto AnswerReports(MonotonicTime now) const -> std::vector<CrashReport>;
  static auto TrialAt(const Suspect& suspect) -> MonotonicTime;
  auto StandingOf(const Suspect& suspect, MonotonicTime now) const -> Standing;
  auto Forget(MonotonicTime now) -> void;
  /// Makes room: the requests with the fewest crashes go first, then those heard of longest ago.
  auto Evict() -> void;

  NodeName self_;
  absl::flat_hash_map<RequestDigest, Suspect> suspects_;
  std::optional<MonotonicTime> forgot_at_;
};

/// The standing as it stands in logs.
auto StandingText(CrashSuspects::Standing standing) -> const char*;

}  // namespace heatherspan
