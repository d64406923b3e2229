#include "gateway/crash_suspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// What was heard of longer ago has been told to all VMs in touch.
constexpr auto kNewsTime = CrashSuspects::kAnswerRetention;
/// A message has many reports, and all requests are looked through.
constexpr Duration kForgetInterval = std::chrono::milliseconds(100);

}  // namespace

auto CrashSuspects::OnReport(const CrashReport& report, MonotonicTime now) -> bool {
  Forget(now);
  const auto at = now - report.age;
  const auto known = suspects_.find(report.request);
  if (!report.crash.has_value()) {
    if (known == suspects_.end()) return false;
    auto& suspect = known->second;
    if (suspect.answered_at.has_value() && *suspect.answered_at >= at) return false;
    suspect.answered_at = at;
    suspect.answered_by = report.observer;
    suspect.heard_at = now;
    std::erase_if(suspect.crashes, [&](const Seen& seen) { return seen.at <= at; });
    return true;
  }
  if (known == suspects_.end() && suspects_.size() == kMaxRequests) Evict();
  auto& suspect = suspects_[report.request];
  if (suspect.answered_at.has_value() && at <= *suspect.answered_at) return false;
  const auto same = std::find_if(suspect.crashes.begin(), suspect.crashes.end(),
                                 [&](const Seen& seen) { return seen.crash == *report.crash; });
  if (same != suspect.crashes.end()) {
    // The observer may know more of this and of other requests meanwhile.
    if (same->observer == report.observer && report.observer != self_) {
      // An estimate of this node that is higher stays.
      const bool is_own = same->chance > same->told_chance;
      same->chance = is_own ? std::max(same->chance, report.chance) : report.chance;
      same->told_chance = report.chance;
    }
    return false;
  }
  if (suspect.crashes.size() == kMaxCrashesKept) return false;
  suspect.crashes.push_back(
      {*report.crash, at, report.at_target, report.chance, report.chance, report.observer, now});
  suspect.heard_at = now;
  suspect.is_shared = suspect.is_shared || suspect.crashes.size() > 1 || report.observer != self_;
  return true;
}

auto CrashSuspects::Share(const RequestDigest& request) -> void {
  const auto found = suspects_.find(request);
  if (found != suspects_.end()) found->second.is_shared = true;
}

auto CrashSuspects::Checksum() const -> std::uint64_t {
  std::uint64_t checksum = 0;
  for (const auto& [request, suspect] : suspects_) {
    if (!suspect.is_shared) continue;
    for (const auto& seen : suspect.crashes) {
      checksum ^= CombineHash(StableHash(seen.crash.target.value(), request.hash()),
                              static_cast<std::uint64_t>(seen.crash.start_id));
    }
  }
  return checksum;
}

auto CrashSuspects::ChanceOf(const std::vector<Seen>& crashes) -> double {
  double chance = 1;
  for (const auto& seen : crashes) chance *= seen.chance;
  return chance;
}

auto CrashSuspects::IsExplained(const TargetCrash& crash, const Suspect& suspect) const -> bool {
  return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto& entry) {
    const auto& crashes = entry.second.crashes;
    return &entry.second != &suspect && crashes.size() >= suspect.crashes.size() &&
           std::any_of(crashes.begin(), crashes.end(),
                       [&](const Seen& seen) { return seen.crash == crash; });
  });
}

auto CrashSuspects::IsCondemned(const Suspect& suspect) const -> bool {
  auto crashes = suspect.crashes;
  if (crashes.size() < kMinCrashes) return false;
  std::erase_if(crashes, [&](const Seen& seen) { return IsExplained(seen.crash, suspect); });
  if (crashes.size() < kMinCrashes) return false;
  // A single machine that fails again and again says nothing about the request.
  const bool several_machines = std::any_of(crashes.begin(), crashes.end(), [&](const Seen& seen) {
    return seen.crash.endpoint != crashes.front().crash.endpoint;
  });
  if (!several_machines) return false;
  return crashes.size() >= kCertainCrashes || ChanceOf(crashes) <= kMaxChance;
}

auto CrashSuspects::TrialAt(const Suspect& suspect) -> MonotonicTime {
  auto last = MonotonicTime::min();
  for (const auto& seen : suspect.crashes) last = std::max(last, seen.at);
  auto pause = kFirstTrialPause;
  for (auto i = kMinCrashes; i < suspect.crashes.size() && pause < kMaxTrialPause; ++i) pause *= 2;
  return last + std::min(pause, kMaxTrialPause);
}

auto CrashSuspects::StandingOf(const Suspect& suspect, MonotonicTime now) const -> Standing {
  if (IsCondemned(suspect)) {
    return now < TrialAt(suspect) ? Standing::kCondemned : Standing::kOnTrial;
  }
  if (suspect.crashes.size() > 1) return Standing::kProbable;
  return suspect.crashes.empty() ? Standing::kClear : Standing::kSuspected;
}

auto CrashSuspects::StandingOf(const RequestDigest& request, MonotonicTime now) const -> Standing {
  const auto found = suspects_.find(request);
  return found == suspects_.end() ? Standing::kClear : StandingOf(found->second, now);
}

auto CrashSuspects::CrashesOf(const RequestDigest& request) const -> std::vector<TargetCrash> {
  std::vector<TargetCrash> crashes;
  if (const auto found = suspects_.find(request); found != suspects_.end()) {
    for (const auto& seen : found->second.crashes) crashes.push_back(seen.crash);
  }
  return crashes;
}

auto CrashSuspects::EvidenceOf(const RequestDigest& request) const -> std::vector<Evidence> {
  std::vector<Evidence> evidence;
  const auto found = suspects_.find(request);
  if (found == suspects_.end()) return evidence;
  for (const auto& seen : found->second.crashes) {
    evidence.push_back({seen.crash, seen.at, seen.at_target, seen.chance, seen.observer,
                        IsExplained(seen.crash, found->second)});
  }
  return evidence;
}

auto CrashSuspects::AnswerReports(MonotonicTime now) const -> std::vector<CrashReport> {
  std::vector<CrashReport> reports;
  for (const auto& [request, suspect] : suspects_) {
    if (!suspect.is_shared || !suspect.answered_at.has_value()) continue;
    const auto age = now - *suspect.answered_at;
    if (age > kAnswerRetention) continue;
    reports.push_back({request, std::nullopt, age, Duration::zero(), 1, suspect.answered_by});
  }
  std::sort(reports.begin(), reports.end(), [](const CrashReport& a, const CrashReport& b) {
    return std::tie(a.age, a.request) < std::tie(b.age, b.request);
  });
  if (reports.size() > kMaxAnswers) reports.resize(kMaxAnswers);
  return reports;
}

auto CrashSuspects::Reports(MonotonicTime now) const -> std::vector<CrashReport> {
  struct Turn {
    const RequestDigest* request;
    const Suspect* suspect;
    std::vector<const Seen*> crashes;  ///< Those last heard of first.
  };
  std::vector<Turn> turns;
  for (const auto& [request, suspect] : suspects_) {
    if (!suspect.is_shared) continue;
    std::optional<bool> condemned;
    Turn turn{&request, &suspect, {}};
    for (auto seen = suspect.crashes.rbegin(); seen != suspect.crashes.rend(); ++seen) {
      // Only condemned requests outlive the retention; others would be told in circles.
      if (now - seen->at > kRetention) {
        if (!condemned.has_value()) condemned = IsCondemned(suspect);
        if (!*condemned) continue;
      }
      turn.crashes.push_back(&*seen);
    }
    if (!turn.crashes.empty()) turns.push_back(std::move(turn));
  }
  std::sort(turns.begin(), turns.end(), [now](const Turn& a, const Turn& b) {
    const auto rank = [now](const Turn& turn) {
      return std::tuple(now - turn.suspect->heard_at <= kNewsTime, turn.suspect->crashes.size(),
                        turn.suspect->heard_at, *turn.request);
    };
    return rank(a) > rank(b);
  });
  auto reports = AnswerReports(now);
  for (std::size_t first = 0; first < kMaxCrashesKept; first += kMinCrashes) {
    for (const auto& turn : turns) {
      for (auto i = first; i < std::min(first + kMinCrashes, turn.crashes.size()); ++i) {
        if (reports.size() == kMaxReports) return reports;
        const auto& seen = *turn.crashes[i];
        reports.push_back(
            {*turn.request, seen.crash, now - seen.at, seen.at_target, seen.chance, seen.observer});
      }
    }
  }
  return reports;
}

auto CrashSuspects::Entries(MonotonicTime now) const -> std::vector<Entry> {
  std::vector<Entry> entries;
  for (const auto& [request, suspect] : suspects_) {
    entries.push_back(
        {request, StandingOf(suspect, now), suspect.crashes.size(), ChanceOf(suspect.crashes)});
  }
  return entries;
}

auto CrashSuspects::Forget(MonotonicTime now) -> void {
  if (forgot_at_.has_value() && now - *forgot_at_ < kForgetInterval) return;
  forgot_at_ = now;
  absl::erase_if(suspects_, [this, now](auto& entry) {
    auto& suspect = entry.second;
    if (IsCondemned(suspect)) return now > TrialAt(suspect) + kMaxTrialPause;
    std::erase_if(suspect.crashes,
                  [now](const Seen& seen) { return now - seen.heard_at > kRetention; });
    const bool answered_lately =
        suspect.answered_at.has_value() && now - *suspect.answered_at <= kRetention;
    return suspect.crashes.empty() && !answered_lately;
  });
}

auto CrashSuspects::Evict() -> void {
  const auto least =
      std::min_element(suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        return std::tuple(a.second.crashes.size(), a.second.heard_at, a.first) <
               std::tuple(b.second.crashes.size(), b.second.heard_at, b.first);
      });
  if (least != suspects_.end()) suspects_.erase(least);
}

auto StandingText(CrashSuspects::Standing standing) -> const char* {
  switch (standing) {
    case CrashSuspects::Standing::kClear:
      return "clear";
    case CrashSuspects::Standing::kSuspected:
      return "suspected";
    case CrashSuspects::Standing::kProbable:
      return "probable";
    case CrashSuspects::Standing::kCondemned:
      return "condemned";
    case CrashSuspects::Standing::kOnTrial:
      return "on-trial";
  }
  return "";
}

}  // namespace heatherspan
