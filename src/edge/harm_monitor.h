#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "base/ids.h"
#include "base/time.h"
#include "edge/platform_ports.h"
#include "fmt/format.h"
#include "gateway/gateway_core.h"
#include "gateway/harm_guard.h"
#include "net/http_request.h"
#include "net/http_result.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Feeds what attempts show into the decisions about harmful requests, tells other entry VMs, and
/// logs each change of standing.
template <MessageFormat Format>
class HarmMonitor {
 public:
  using Ruling = HarmGuard::Ruling;
  /// Tells the VMs the news at once.
  using TellCallback = std::function<void(const std::vector<EntryVm>& vms)>;
  /// Asks the target for its health at once, which shows whether it still runs.
  using CheckCallback = std::function<void(const TargetName& target)>;

  HarmMonitor(GatewayCore& core, EventLog& log, MetricsRegistry& metrics, DigestKey digest_key,
              TellCallback tell, CheckCallback check)
      : core_(core),
        log_(log),
        metrics_(metrics),
        digest_key_(std::move(digest_key)),
        tell_(std::move(tell)),
        check_(std::move(check)),
        guard_(core.node()) {}

  auto DigestOf(const HttpRequest& request) const -> RequestDigest {
    return Format::DigestOf(request, digest_key_.value());
  }

  /// Decides how the next attempt is made. `digest` is filled in if it is needed.
  auto Rule(const HttpRequest& request, std::optional<RequestDigest>& digest, MonotonicTime now)
      -> Ruling {
    if (guard_.IsIdle()) return Ruling::kSend;
    if (!digest.has_value()) digest = DigestOf(request);
    const auto ruling = guard_.Rule(*digest, core_.entry_vms().Announced(now), now);
    // A request is also condemned without a report of its own, once no other request explains its
    // crashes any more.
    if (ruling == Ruling::kRefuse && !reported_.contains(*digest)) WriteEvidence(*digest, now);
    return ruling;
  }

  auto OnSent(const std::optional<RequestDigest>& digest) -> void {
    if (digest.has_value()) guard_.OnSent(*digest);
  }
  /// The attempt is over without an outcome.
  auto OnAbandoned(const std::optional<RequestDigest>& digest) -> void {
    if (digest.has_value()) guard_.OnAttemptOver(*digest);
  }

  auto OnResult(const HttpRequest& request, std::optional<RequestDigest>& digest,
                const ServiceName& service, const Attempt& attempt, AttemptOutcome outcome,
                const HttpResult& result, bool repeated, MonotonicTime now) -> void {
    OnAbandoned(digest);
    const bool answered =
        outcome == AttemptOutcome::kSucceeded || outcome == AttemptOutcome::kFailed;
    if (outcome == AttemptOutcome::kLost && result.connection_end == ConnectionEnd::kClosed) {
      if (!digest.has_value()) digest = DigestOf(request);
      guard_.OnLost({*digest,
                     {attempt.target, attempt.start_id, attempt.endpoint},
                     service,
                     now - attempt.began,
                     now,
                     repeated});
      check_(attempt.target);
    } else if (result.connection_end == ConnectionEnd::kRefused) {
      OnRefused(attempt.target, now);
    } else if (!guard_.IsIdle() && result.status.ok()) {
      guard_.OnTargetAnswered(attempt.target, attempt.began);
      if (answered) {
        if (!digest.has_value()) digest = DigestOf(request);
        guard_.OnRequestAnswered(*digest, now);
      }
    }
    Publish(now);
  }

  /// The request is over without an answer of a target.
  auto OnRequestUnanswered(const std::optional<RequestDigest>& digest, MonotonicTime now) -> void {
    if (!digest.has_value()) return;
    guard_.OnRequestUnanswered(*digest, now);
    Publish(now);
  }

  /// The target's machine has refused a connection.
  auto OnRefused(const TargetName& target, MonotonicTime now) -> void {
    guard_.OnRefused(target, TargetCount(target), now);
    if (const auto* known = core_.fleet().Find(target); known != nullptr) {
      const auto& entry = known->entry();
      guard_.OnDown(entry.service, {entry.name, entry.start_id, entry.endpoint},
                    TargetCount(target), now);
    }
    Publish(now);
  }
  /// The target has answered a question for its health that was sent at the given time.
  auto OnHealthAnswer(const TargetName& target, MonotonicTime sent_at) -> void {
    guard_.OnTargetAnswered(target, sent_at);
  }
  auto OnRegistered(const RegisteredTarget& target, MonotonicTime now) -> void {
    guard_.OnStarted(target.name, target.start_id, TargetCount(target.name), now);
    Publish(now);
  }
  /// Takes over what another VM tells. Returns whether that VM lacks something.
  auto OnNews(const PeerNews& news, MonotonicTime now) -> bool {
    if (!news.crashes.empty()) OnReports(news.crashes, now);
    return news.crash_checksum != guard_.Checksum();
  }
  auto Reports(MonotonicTime now) const -> std::vector<CrashReport> { return guard_.Reports(now); }
  auto Checksum() const -> std::uint64_t { return guard_.Checksum(); }

  /// One line for each request that is suspected or condemned, for operators.
  auto Listing(MonotonicTime now) const -> std::string {
    std::string text;
    for (const auto& entry : guard_.suspects().Entries(now)) {
      if (entry.crashes == 0) continue;
      text += fmt::format("request={} standing={} crashes={} chance={:.1e}\n", entry.request.Text(),
                          StandingText(entry.standing), entry.crashes, entry.chance);
    }
    return text;
  }
  /// Has the request served again, at all entry VMs, until it meets three more crashes.
  auto Lift(const RequestDigest& request, MonotonicTime now) -> void {
    log_.Write(LogLevel::kWarning, "request-lifted", {{"request", request.Text()}});
    guard_.OnRequestAnswered(request, now);
    Publish(now);
  }

 private:
  auto OnReports(const std::vector<CrashReport>& reports, MonotonicTime now) -> void {
    const auto service_of = [this](const TargetName& name) {
      const auto* target = core_.fleet().Find(name);
      return target == nullptr ? std::nullopt : std::optional(target->entry().service);
    };
    guard_.OnReports(reports, service_of, now);
    Publish(now);
  }
  /// The number of targets of the target's service.
  auto TargetCount(const TargetName& name) const -> std::size_t {
    const auto* target = core_.fleet().Find(name);
    return target == nullptr ? 1 : core_.fleet().TargetsOf(target->entry().service).size();
  }

  auto Publish(MonotonicTime now) -> void {
    for (const auto& change : guard_.TakeChanges()) {
      const auto* standing = StandingText(change.standing);
      metrics_.Increment(Metric::kRequestStandings, {{"standing", standing}});
      log_.Write(change.standing == CrashSuspects::Standing::kCondemned ? LogLevel::kWarning
                                                                        : LogLevel::kInfo,
                 "request-standing",
                 {{"request", change.request.Text()},
                  {"standing", standing},
                  {"crashes", change.crashes},
                  {"source", change.source.value()}});
      if (change.standing == CrashSuspects::Standing::kCondemned) {
        WriteEvidence(change.request, now);
      } else if (change.standing != CrashSuspects::Standing::kOnTrial) {
        reported_.erase(change.request);
      }
    }
    const auto recipients = guard_.TakeRecipients(core_.entry_vms().Announced(now));
    if (!recipients.empty()) tell_(recipients);
  }

  /// Writes what the condemnation of the request rests on.
  auto WriteEvidence(const RequestDigest& request, MonotonicTime now) -> void {
    if (reported_.size() >= CrashSuspects::kMaxRequests) reported_.clear();
    reported_.insert(request);
    const auto evidence = guard_.suspects().EvidenceOf(request);
    std::string text;
    std::size_t unexplained = 0;
    double chance = 1;
    for (const auto& item : evidence) {
      if (!item.is_explained) {
        ++unexplained;
        chance *= item.chance;
      }
      text += fmt::format(
          "{}target={} start={} endpoint={} age_ms={} at_target_ms={} chance={:.1e} observer={} "
          "explained={}",
          text.empty() ? "" : "; ", item.crash.target.value(), item.crash.start_id,
          item.crash.endpoint.Text(), Milliseconds(now - item.at), Milliseconds(item.at_target),
          item.chance, item.observer.value(), item.is_explained ? 1 : 0);
    }
    log_.Write(LogLevel::kWarning, "request-condemned",
               {{"request", request.Text()},
                {"crashes", evidence.size()},
                {"unexplained", unexplained},
                {"chance", fmt::format("{:.1e}", chance)},
                {"evidence", text}});
  }

  static auto Milliseconds(Duration duration) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  }

  GatewayCore& core_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const DigestKey digest_key_;
  const TellCallback tell_;
  const CheckCallback check_;
  HarmGuard guard_;
  absl::flat_hash_set<RequestDigest> reported_;  ///< Condemned; their evidence is in the log.
};

}  // namespace heatherspan
