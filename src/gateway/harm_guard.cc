#include "gateway/harm_guard.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "base/stable_hash.h"

namespace heatherspan {
namespace {

using Standing = CrashSuspects::Standing;

/// Sorts the VMs by their rank for the request, which all VMs agree on.
auto RankedFor(const RequestDigest& request, const std::vector<EntryVm>& vms)
    -> std::vector<const EntryVm*> {
  std::vector<const EntryVm*> ranked;
  ranked.reserve(vms.size());
  for (const auto& vm : vms) ranked.push_back(&vm);
  std::sort(ranked.begin(), ranked.end(), [&](const EntryVm* a, const EntryVm* b) {
    return RendezvousScore(request.hash(), StableHash(a->name.value())) >
           RendezvousScore(request.hash(), StableHash(b->name.value()));
  });
  return ranked;
}

}  // namespace

auto HarmGuard::IsTrialVm(const RequestDigest& request, const std::vector<EntryVm>& vms) const
    -> bool {
  const auto ranked = RankedFor(request, vms);
  return !ranked.empty() && ranked.front()->name == self_;
}

auto HarmGuard::Rule(const RequestDigest& request, const std::vector<EntryVm>& vms,
                     MonotonicTime now) const -> Ruling {
  const bool at_target = at_targets_.contains(request);
  switch (suspects_.StandingOf(request, now)) {
    case Standing::kClear:
      return detector_.IsPending(request, now) ? Ruling::kSendApart : Ruling::kSend;
    case Standing::kSuspected:
      return Ruling::kSendApart;
    case Standing::kProbable:
      // A loss that is not judged yet may be the crash that condemns it.
      return at_target || detector_.IsPending(request, now) ? Ruling::kWait
                                                            : Ruling::kSendOnlyApart;
    case Standing::kOnTrial:
      if (!IsTrialVm(request, vms)) return Ruling::kRefuse;
      return at_target ? Ruling::kWait : Ruling::kSendOnlyApart;
    case Standing::kCondemned:
      return Ruling::kRefuse;
  }
  return Ruling::kSend;
}

auto HarmGuard::OnAttemptOver(const RequestDigest& request) -> void {
  const auto found = at_targets_.find(request);
  if (found != at_targets_.end() && --found->second == 0) at_targets_.erase(found);
}

auto HarmGuard::OnLost(LostRequest lost) -> void {
  const auto now = lost.lost_at;
  const auto late = detector_.OnLost(std::move(lost));
  if (late.has_value()) OnCrash({late->lost}, late->target_count, now);
}

auto HarmGuard::OnRefused(const TargetName& target, std::size_t target_count, MonotonicTime now)
    -> void {
  OnCrash(detector_.OnRefused(target, target_count, now), target_count, now);
}

auto HarmGuard::OnDown(const ServiceName& service, const TargetCrash& crash,
                       std::size_t target_count, MonotonicTime now) -> void {
  target_counts_[service] = target_count;
  if (rate_.OnDown(service, crash, now) && rate_.IsBurst(service, now)) RenewAllChances(now);
}

auto HarmGuard::OnStarted(const TargetName& target, std::int64_t start_id, std::size_t target_count,
                          MonotonicTime now) -> void {
  OnCrash(detector_.OnStarted(target, start_id, now), target_count, now);
}

auto HarmGuard::OnCrash(const std::vector<LostRequest>& lost, std::size_t target_count,
                        MonotonicTime now) -> void {
  bool in_burst = false;
  for (const auto& request : lost) {
    target_counts_[request.service] = target_count;
    const bool is_new = rate_.OnCrash(request.service, request.at, request.lost_at);
    in_burst = in_burst || (is_new && rate_.IsBurst(request.service, request.lost_at));
  }
  if (in_burst) RenewAllChances(now);
  ForgetExposures();
  for (const auto& request : lost) {
    const CrashReport report{request.request,   request.at, now - request.lost_at,
                             request.at_target, 1,          self_};
    const auto before = suspects_.StandingOf(request.request, now);
    if (!suspects_.OnReport(report, now)) continue;
    ApplyAnswer(request.request, now);
    exposures_[request.request] = {request.service, target_count};
    RenewChances(request.request);
    Note(report, before, now);
    if (suspects_.StandingOf(request.request, now) > Standing::kSuspected) {
      for_all_ = true;
    } else if (!request.is_repeated) {
      suspects_.Share(request.request);
      for_keepers_.push_back(request.request);
    }
  }
}

auto HarmGuard::RenewChances(const RequestDigest& request) -> void {
  const auto found = exposures_.find(request);
  if (found == exposures_.end()) return;
  const auto& exposure = found->second;
  auto target_count = exposure.target_count;
  if (!target_count.has_value()) {
    const auto told = target_counts_.find(exposure.service);
    if (told == target_counts_.end()) return;
    target_count = told->second;
  }
  const auto own = suspects_.CrashesOf(request);
  const auto estimate = [&](Duration at_target, MonotonicTime at, bool is_own) {
    if (!is_own && !rate_.IsBurst(exposure.service, at)) return 0.0;
    return rate_.Chance(exposure.service, *target_count, at_target, own, at);
  };
  suspects_.RenewChances(request, exposure.target_count.has_value(), estimate);
}

auto HarmGuard::RenewAllChances(MonotonicTime now) -> void {
  for (const auto& [request, exposure] : exposures_) {
    // A request that gets one crash more is renewed by itself.
    if (suspects_.CrashCountOf(request) < CrashSuspects::kMinCrashes) continue;
    const auto before = suspects_.StandingOf(request, now);
    RenewChances(request);
    Note({request, std::nullopt, {}, {}, 1, self_}, before, now);
  }
}

auto HarmGuard::ForgetExposures() -> void {
  if (exposures_.size() <= 2 * CrashSuspects::kMaxRequests) return;
  absl::erase_if(exposures_,
                 [this](const auto& entry) { return suspects_.CrashesOf(entry.first).empty(); });
}

auto HarmGuard::OnRequestAnswered(const RequestDigest& request, MonotonicTime now) -> void {
  const auto before = suspects_.StandingOf(request, now);
  if (before == Standing::kClear) {
    while (!answers_.empty() &&
           (answers_.size() == kMaxAnswers || now - answers_.front().second > kAnswerRetention)) {
      answers_.pop_front();
    }
    answers_.emplace_back(request, now);
    return;
  }
  const CrashReport report{request, std::nullopt, Duration::zero(), Duration::zero(), 1, self_};
  if (!suspects_.OnReport(report, now)) return;
  Note(report, before, now);
  if (before > Standing::kSuspected) for_all_ = true;
}

auto HarmGuard::ApplyAnswer(const RequestDigest& request, MonotonicTime now) -> void {
  const auto found = std::find_if(answers_.rbegin(), answers_.rend(),
                                  [&](const auto& answer) { return answer.first == request; });
  if (found == answers_.rend()) return;
  suspects_.OnReport({request, std::nullopt, now - found->second, Duration::zero(), 1, self_}, now);
}

auto HarmGuard::OnRequestUnanswered(const RequestDigest& request, MonotonicTime now) -> void {
  detector_.OnUnanswered(request);
  if (suspects_.StandingOf(request, now) != Standing::kSuspected) return;
  suspects_.Share(request);
  for_keepers_.push_back(request);
}

auto HarmGuard::TakeOver(const std::vector<CrashReport>& reports, MonotonicTime now) -> void {
  absl::flat_hash_map<RequestDigest, std::size_t> told;
  for (const auto& report : reports) {
    if (report.crash.has_value()) ++told[report.request];
  }
  for (const auto& report : reports) {
    const auto before = suspects_.StandingOf(report.request, now);
    if (!suspects_.OnReport(report, now)) continue;
    if (report.crash.has_value()) ApplyAnswer(report.request, now);
    RenewChances(report.request);
    Note(report, before, now);
    // The reports of several VMs have come together here.
    const auto known = suspects_.CrashesOf(report.request).size();
    if (known > 1 && known > told[report.request]) for_all_ = true;
    // So does an answer that those who tell of several crashes don't know.
    if (known == 0 && told[report.request] > 1) for_all_ = true;
  }
  ForgetExposures();
}

auto HarmGuard::Note(const CrashReport& report, Standing before, MonotonicTime now) -> void {
  const auto standing = suspects_.StandingOf(report.request, now);
  if (standing == before) return;
  changes_.push_back(
      {report.request, standing, suspects_.CrashesOf(report.request).size(), report.observer});
}

auto HarmGuard::TakeRecipients(const std::vector<EntryVm>& vms) -> std::vector<EntryVm> {
  const auto requests = std::exchange(for_keepers_, {});
  const bool all = std::exchange(for_all_, false);
  absl::flat_hash_set<NodeName> chosen;
  std::vector<EntryVm> recipients;
  const auto add = [&](const EntryVm& vm) {
    if (vm.name != self_ && chosen.insert(vm.name).second) recipients.push_back(vm);
  };
  if (all) {
    for (const auto& vm : vms) add(vm);
    return recipients;
  }
  for (const auto& request : requests) {
    const auto ranked = RankedFor(request, vms);
    for (std::size_t i = 0; i < std::min(kKeepers, ranked.size()); ++i) add(*ranked[i]);
  }
  return recipients;
}

}  // namespace heatherspan
