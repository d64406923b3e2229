#include "edge/team_quota_gate.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "fmt/format.h"

namespace heatherspan {
namespace {

/// A team that has not been refused for so long is reported anew.
constexpr Duration kReportInterval = std::chrono::seconds(10);

auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

TeamQuotaGate::TeamQuotaGate(const NodeName& self, InstanceId instance, WorkerPool& workers,
                             EventLog& log, MetricsRegistry& metrics, SendAsk send)
    : self_(self),
      workers_(workers),
      log_(log),
      metrics_(metrics),
      send_(std::move(send)),
      fraction_(self),
      keeper_(instance, quotas_),
      client_(self, quotas_) {}

auto TeamQuotaGate::SetRule(const TeamQuotaRule& rule, Duration change_bound) -> void {
  quotas_.SetRule(rule);
  fraction_.SetChangeBound(change_bound);
  keeper_.OnQuotasChanged(Now());
}

auto TeamQuotaGate::Apply(const std::vector<Team>& teams) -> void {
  quotas_.Apply(teams);
  keeper_.OnQuotasChanged(Now());
  client_.OnQuotasChanged();
  Proceed();
}

auto TeamQuotaGate::OnTick(const std::vector<EntryVm>& announced, MonotonicTime now) -> void {
  fraction_.Update(announced, now);
  const bool keeper_changed = client_.Update(fraction_.value(), Timing(), announced, now);
  if (quotas_.empty()) return;
  LogChanges(keeper_changed);
  SetMetrics(now);
  Probe(now);
  Proceed();
}

auto TeamQuotaGate::OnAsk(const QuotaAsk& ask) -> std::optional<QuotaAnswer> {
  // Without quotas of its own, this VM has no configuration yet, or an older one.
  if (stopping_ || quotas_.empty()) return std::nullopt;
  return keeper_.OnAsk(ask, Timing(), Now());
}

auto TeamQuotaGate::BeginStop() -> void {
  stopping_ = true;
  keeper_.Close();
}

auto TeamQuotaGate::Acquire(const TeamName& team, OnRuling on_ruling) -> void {
  const auto now = Now();
  const auto ruling = client_.Acquire(team, ++last_waiter_, now);
  if (ruling.has_value()) {
    Report(team, *ruling, now);
    on_ruling(*ruling);
    return;
  }
  waiting_.emplace(last_waiter_, Waiting{team, std::move(on_ruling)});
  Proceed();
}

auto TeamQuotaGate::GiveBack(const TeamName& team, const TeamQuotaRuling& ruling) -> void {
  client_.GiveBack(team, ruling.usable_until, Now());
  metrics_.Increment(Metric::kTeamQuota, {{"team", team.value()}, {"result", "given-back"}});
}

auto TeamQuotaGate::Proceed() -> void {
  auto due = client_.NextAskAt();
  while (due.has_value() && *due <= Now()) {
    Ask();
    due = client_.NextAskAt();
  }
  DeliverRulings();
  if (!due.has_value() || (timer_ != nullptr && timer_at_ <= *due)) return;
  timer_at_ = *due;
  timer_ = workers_.RunAfter(std::max(*due - Now(), Duration::zero()), [this] {
    timer_.reset();
    Proceed();
  });
}

auto TeamQuotaGate::Ask() -> void {
  const auto ask = client_.BeginAsk(Now());
  if (client_.keeper()->name != self_) {
    send_(client_.keeper()->peer_endpoint, ask, client_.ask_timeout(),
          [this](const Reply& reply) { OnAnswered(reply); });
    return;
  }
  if (const auto answer = OnAsk(ask)) {
    client_.OnAnswer(*answer, Now());
  } else {
    client_.OnFailure(QuotaClient::Failure::kDeclined, Now());
  }
}

auto TeamQuotaGate::Probe(MonotonicTime now) -> void {
  const auto vm = client_.BeginProbe(now);
  if (!vm.has_value()) return;
  if (vm->name == self_) {
    client_.OnProbed(self_, !stopping_);
    return;
  }
  QuotaAsk ask;
  ask.node = self_;
  send_(vm->peer_endpoint, ask, client_.ask_timeout(), [this, name = vm->name](const Reply& reply) {
    client_.OnProbed(name, reply.answer.has_value());
  });
}

auto TeamQuotaGate::OnAnswered(const Reply& reply) -> void {
  if (reply.answer.has_value()) {
    client_.OnAnswer(*reply.answer, Now());
  } else {
    client_.OnFailure(reply.failure, Now());
  }
  Proceed();
}

auto TeamQuotaGate::DeliverRulings() -> void {
  for (const auto& [waiter, ruling] : client_.TakeRulings()) {
    auto waiting = waiting_.extract(waiter);
    if (waiting.empty()) continue;
    Report(waiting.mapped().team, ruling, Now());
    waiting.mapped().on_ruling(ruling);
  }
}

auto TeamQuotaGate::Report(const TeamName& team, const TeamQuotaRuling& ruling, MonotonicTime now)
    -> void {
  if (quotas_.Find(team) == nullptr) return;
  metrics_.Increment(Metric::kTeamQuota, {{"team", team.value()},
                                          {"result", ruling.admitted ? "admitted" : "refused"}});
  if (ruling.admitted) return;
  const auto before = std::exchange(refused_at_[team], now);
  if (before != MonotonicTime{} && now - before < kReportInterval) return;
  const auto& keeper = client_.keeper();
  log_.Write(LogLevel::kInfo, "team-over-quota",
             {{"team", team.value()},
              {"retry_after_ms", Milliseconds(ruling.retry_after)},
              {"tokens", client_.TokensOf(team, now)},
              {"keeper", keeper.has_value() ? keeper->name.value() : "none"},
              {"lent", client_.IsLent(now) ? 1 : 0},
              {"fraction", fmt::format("{:.4f}", fraction_.value())},
              {"kind", std::string(QuotaFraction::KindText(fraction_.kind()))}});
}

auto TeamQuotaGate::LogChanges(bool keeper_changed) -> void {
  if (keeper_changed) {
    const auto& keeper = client_.keeper();
    log_.Write(LogLevel::kInfo, "quota-keeper",
               {{"keeper", keeper.has_value() ? keeper->name.value() : "none"},
                {"self", keeper.has_value() && keeper->name == self_ ? 1 : 0}});
  }
  if (std::exchange(logged_kind_, fraction_.kind()) == fraction_.kind()) return;
  log_.Write(
      fraction_.kind() == QuotaFraction::Kind::kLapsed ? LogLevel::kWarning : LogLevel::kInfo,
      "quota-fraction",
      {{"kind", std::string(QuotaFraction::KindText(fraction_.kind()))},
       {"fraction", fmt::format("{:.4f}", fraction_.value())},
       {"vms", fraction_.vm_count()}});
}

auto TeamQuotaGate::SetMetrics(MonotonicTime now) -> void {
  const bool is_lent = client_.IsLent(now);
  metrics_.Set(Metric::kQuotaFraction, {{"use", "own"}}, client_.local_fraction());
  metrics_.Set(Metric::kQuotaFraction, {{"use", "lent"}}, is_lent ? fraction_.value() : 0);
  metrics_.Set(Metric::kQuotaFraction, {{"use", "kept"}}, keeper_.fraction());
  client_.ForEachTeam(
      [&](const TeamName& team, int tokens) {
        metrics_.Set(Metric::kTeamTokens, {{"team", team.value()}}, tokens);
      },
      now);
  absl::erase_if(refused_at_,
                 [now](const auto& entry) { return now - entry.second >= kReportInterval; });
}

}  // namespace heatherspan
