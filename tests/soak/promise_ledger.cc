#include "soak/promise_ledger.h"

#include <algorithm>

#include "fmt/format.h"

namespace heatherspan {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::size_t kBodyBytes = 900;
/// Statuses that promise that the request has not run.
constexpr int kNotRun[] = {408, 421, 429, 503};
/// A caller and a target read their clocks around the same moment.
constexpr Duration kClockMargin = milliseconds(50);
/// A stop shows by then.
constexpr Duration kUnreadyTime = std::chrono::seconds(4);

auto IsNotRun(int status) -> bool {
  return std::find(std::begin(kNotRun), std::end(kNotRun), status) != std::end(kNotRun);
}

auto Milliseconds(Duration time) -> std::int64_t {
  return duration_cast<milliseconds>(time).count();
}

auto CountIn(const std::vector<MonotonicTime>& times, MonotonicTime begin, MonotonicTime end)
    -> std::ptrdiff_t {
  return std::lower_bound(times.begin(), times.end(), end) -
         std::lower_bound(times.begin(), times.end(), begin);
}

}  // namespace

auto PromiseLedger::ExpectedBody(const std::string& target, const std::string& id) -> std::string {
  std::string body = target + ':' + id + ':';
  body.resize(kBodyBytes, '.');
  return body;
}

auto PromiseLedger::Report(const std::string& promise, const std::string& text) -> void {
  violations_.push_back({promise, text});
}

auto PromiseLedger::Find(const std::string& id) -> Entry* {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

auto PromiseLedger::StoreCalm(MonotonicTime now) const -> bool {
  return troubles_.IsCalm(TroubleLog::kStore, now - bounds_.stable, now);
}

auto PromiseLedger::InTouch(const std::string& gateway, MonotonicTime now) const -> bool {
  return StoreCalm(now) && IsCalm(gateway, now - bounds_.stable, now);
}

auto PromiseLedger::OnPolicy(PolicyFacts facts, MonotonicTime now) -> void {
  policies_.push_back({std::move(facts), now});
}

auto PromiseLedger::OnLeaving(const std::string& target, MonotonicTime now) -> void {
  leaving_.try_emplace(target, now);
}

auto PromiseLedger::OnEvacuated(const std::string& zone, bool evacuated, MonotonicTime now)
    -> void {
  if (evacuated) {
    evacuations_[zone].push_back({now});
  } else if (!evacuations_[zone].empty()) {
    evacuations_[zone].back().end = now;
  }
}

auto PromiseLedger::OnSent(SentRequest request, MonotonicTime now) -> void {
  if (!policies_.empty()) {
    const auto& services = policies_.back().facts.services;
    if (const auto service = services.find(request.route); service != services.end()) {
      service_requests_[service->second].push_back(now);
    }
  }
  const auto id = request.id;
  Entry entry;
  entry.request = std::move(request);
  entry.sent = now;
  requests_.emplace(id, std::move(entry));
}

auto PromiseLedger::OnAnswer(const std::string& id, const SeenAnswer& answer, MonotonicTime now)
    -> void {
  auto* entry = Find(id);
  if (entry == nullptr || entry->gone.has_value()) return;
  entry->answered = now;
  if (!answer.id.empty() && answer.id != id) {
    Report("MIXED", fmt::format("request {} got the answer to {}", id, answer.id));
  }
  CheckLate(*entry, now);
  if (answer.status >= 200 && answer.status < 300) {
    CheckSuccess(*entry, answer);
    entry->served = true;
    ++served_;
  } else if (IsNotRun(answer.status)) {
    CheckRefusal(*entry, answer, now);
    ++refused_;
  } else if (answer.status < 500) {
    if (answer.signature.empty()) CheckDenied(*entry, answer, now);
  } else if (answer.signature.empty()) {
    const auto& process = processes_[entry->request.gateway];
    // No target was at work that has refused the request.
    if (process.stop_began.has_value() && !entry->last_target_refused) {
      CheckBrokenOff(*entry, now, fmt::format("answered {} at a stop", answer.status));
    }
  }
}

auto PromiseLedger::CheckSuccess(const Entry& entry, const SeenAnswer& answer) -> void {
  const auto& id = entry.request.id;
  if (answer.signature.empty()) {
    Report("MIXED",
           fmt::format("request {} was answered {} without a signature", id, answer.status));
  } else if (answer.body != ExpectedBody(answer.signature, id)) {
    Report("MIXED", fmt::format("request {} got {} bytes that are not the answer of {}", id,
                                answer.body.size(), answer.signature));
  }
}

auto PromiseLedger::CheckRefusal(Entry& entry, const SeenAnswer& answer, MonotonicTime now)
    -> void {
  entry.refused = true;
  if (entry.request.at_most_once && entry.runs > 0) {
    Report("REFUSED", fmt::format("request {} was answered {} by {} after {} ms although {} ran it",
                                  entry.request.id, answer.status, entry.request.gateway,
                                  Milliseconds(now - entry.sent), entry.last_target));
  }
}

/// What every configuration allows, any gateway knows; the others only one that is in touch.
auto PromiseLedger::CheckDenied(const Entry& entry, const SeenAnswer& answer, MonotonicTime now)
    -> void {
  const auto& request = entry.request;
  if (IsHarmful(request.target)) return;
  ++rejected_[answer.status];
  const auto allows = [&](const PolicyFacts& facts) {
    return facts.services.contains(request.route);
  };
  const auto policies = PoliciesFor(entry.sent, now);
  const bool all_in_force =
      !policies.empty() && std::all_of(policies.begin(), policies.end(),
                                       [&](const Policy* policy) { return allows(policy->facts); });
  const bool all_ever = std::all_of(policies_.begin(), policies_.end(),
                                    [&](const Policy& policy) { return allows(policy.facts); });
  if (all_ever || (all_in_force && InTouch(request.gateway, now))) {
    Report("DENIED", fmt::format("request {} on route {} was answered {} by {}", request.id,
                                 request.route, answer.status, request.gateway));
  }
}

auto PromiseLedger::CheckLate(const Entry& entry, MonotonicTime now) -> void {
  const auto& gateway = entry.request.gateway;
  const auto taken = now - entry.sent;
  if (taken < entry.request.route_timeout - kClockMargin || !InTouch(gateway, entry.sent) ||
      !IsCalm(gateway, entry.sent, now)) {
    return;
  }
  ++timed_out_;
  if (taken > entry.request.route_timeout + bounds_.late_slack) ++timed_out_late_;
}

auto PromiseLedger::CheckBrokenOff(const Entry& entry, MonotonicTime now, const std::string& how)
    -> void {
  const auto& gateway = entry.request.gateway;
  const auto taken = now - entry.sent;
  const auto limit = std::min(entry.request.patience, entry.request.route_timeout);
  const bool passed_on = entry.arrivals > 0;
  const bool at_work = passed_on && !entry.work_end.has_value();
  if (!passed_on && taken <= bounds_.loss_slack) return;
  if (taken >= limit - kClockMargin) return;
  const auto begin = entry.sent - bounds_.stable;
  if (!HasOnlyPlanned(gateway, begin, now) ||
      !troubles_.HasOnlyPlanned(TroubleLog::kStore, begin, now) ||
      (passed_on && !troubles_.IsCalm(entry.last_target, begin, now))) {
    return;
  }
  Report("LOST", fmt::format("request {} at {} {} after {} ms; {}", entry.request.id, gateway, how,
                             Milliseconds(taken),
                             at_work     ? entry.last_target + " was at work"
                             : passed_on ? "passed on to " + entry.last_target
                                         : "never passed on"));
}

auto PromiseLedger::OnConnectionEnd(const std::string& id, MonotonicTime now) -> void {
  auto* entry = Find(id);
  if (entry == nullptr || entry->gone.has_value()) return;
  entry->answered = now;
  CheckBrokenOff(*entry, now, "lost its connection");
}

auto PromiseLedger::OnSilence(const std::string& id, MonotonicTime now) -> void {
  auto* entry = Find(id);
  if (entry == nullptr || entry->gone.has_value()) return;
  entry->gone = now;
  entry->silent = true;
  CheckLate(*entry, now);
}

auto PromiseLedger::OnCallerGone(const std::string& id, MonotonicTime now) -> void {
  if (auto* entry = Find(id); entry != nullptr && !entry->answered.has_value()) entry->gone = now;
}

auto PromiseLedger::OnArrival(const SeenArrival& arrival, MonotonicTime now) -> void {
  auto* entry = Find(arrival.id);
  const auto& request = arrival;
  if (entry == nullptr || entry->request.method != request.method ||
      entry->request.target != request.target || entry->request.body != request.body) {
    Report("UNASKED", fmt::format("{} got request {} as no caller sent it: {} {} with {} bytes",
                                  arrival.target_name, arrival.id, request.method, request.target,
                                  request.body.size()));
    return;
  }
  if (++entry->arrivals > 1) repeats_[arrival.service].push_back(now);
  entry->last_arrival = now;
  entry->last_target = arrival.target_name;
  entry->last_target_refused = !arrival.runs;
  CheckHome(*entry, arrival, now);
  if (arrival.misdirected) return;
  if (entry->gone.has_value() && now > *entry->gone + bounds_.late_slack &&
      InTouch(entry->request.gateway, *entry->gone) &&
      IsCalm(entry->request.gateway, *entry->gone, now)) {
    ++gone_arrivals_;
  }
  CheckPlace(*entry, arrival, now);
  CheckTimeLeft(*entry, arrival, now);
  if (arrival.cold) CheckCold(arrival, now);
  CheckLimit(*entry, arrival, now);
  CheckNotices(*entry, arrival, now);
  if (!arrival.runs) return;
  CheckPolicy(*entry, arrival, now);
  if (IsHarmful(arrival.target)) {
    CheckHarm(*entry, arrival, now);
    return;
  }
  ++entry->runs;
  entry->work_planned_end = now + arrival.work;
  entry->work_end.reset();
  if (!entry->request.at_most_once) return;
  if (entry->runs > 1) {
    Report("TWICE", fmt::format("request {} ran {} times, the last time at {}", arrival.id,
                                entry->runs, arrival.target_name));
  }
  if (entry->refused) {
    Report("REFUSED", fmt::format("request {} ran at {} after {} had refused it", arrival.id,
                                  arrival.target_name, entry->request.gateway));
  }
}

auto PromiseLedger::CheckPlace(const Entry& entry, const SeenArrival& arrival, MonotonicTime now)
    -> void {
  const auto& gateway = entry.request.gateway;
  // Bytes that a disturbed connection held up were sent earlier.
  if (!InTouch(gateway, now) || !troubles_.IsCalm(arrival.target_name, now - bounds_.stable, now)) {
    return;
  }
  if (const auto leaving = leaving_.find(arrival.target_name);
      leaving != leaving_.end() && now > leaving->second + bounds_.drain &&
      StoreCalm(leaving->second)) {
    Report("DRAIN",
           fmt::format("{} sent {} to {} {} ms after it was known to leave", gateway, arrival.id,
                       arrival.target_name, Milliseconds(now - leaving->second)));
  }
  for (const auto& evacuation : evacuations_[arrival.zone]) {
    if (now > evacuation.begin + bounds_.evacuate && now < evacuation.end) {
      Report("EVAC", fmt::format("{} sent {} to {} in zone {} {} ms after its evacuation", gateway,
                                 arrival.id, arrival.target_name, arrival.zone,
                                 Milliseconds(now - evacuation.begin)));
    }
  }
}

auto PromiseLedger::PoliciesFor(MonotonicTime sent, MonotonicTime now) const
    -> std::vector<const Policy*> {
  std::vector<const Policy*> candidates;
  for (auto policy = policies_.rbegin(); policy != policies_.rend(); ++policy) {
    if (policy->since > now) continue;
    candidates.push_back(&*policy);
    if (policy->since + bounds_.apply < sent) break;
  }
  return candidates;
}

auto PromiseLedger::CheckPolicy(const Entry& entry, const SeenArrival& arrival, MonotonicTime now)
    -> void {
  const auto& route = entry.request.route;
  const auto allows = [&](const PolicyFacts& facts) {
    const auto service = facts.services.find(route);
    return service != facts.services.end() && service->second == arrival.service;
  };
  const bool ever = std::any_of(policies_.begin(), policies_.end(),
                                [&](const Policy& policy) { return allows(policy.facts); });
  if (!ever) {
    Report("ROUTE", fmt::format("request {} of route {} ran at {} of {}", arrival.id, route,
                                arrival.target_name, arrival.service));
    return;
  }
  const auto policies = PoliciesFor(entry.sent, now);
  const bool allowed = std::any_of(policies.begin(), policies.end(),
                                   [&](const Policy* policy) { return allows(policy->facts); });
  if (!allowed && InTouch(entry.request.gateway, now)) {
    Report("CONFIG", fmt::format("{} handled {} of route {} as only an older version allows: {}",
                                 entry.request.gateway, arrival.id, route, arrival.service));
  }
}

auto PromiseLedger::CheckTimeLeft(const Entry& entry, const SeenArrival& arrival, MonotonicTime now)
    -> void {
  if (!InTouch(entry.request.gateway, now)) return;
  ++with_deadline_;
  const auto left = entry.request.patience - (now - entry.sent);
  const bool repeat = entry.arrivals > 1 && now - entry.sent > bounds_.late_slack;
  if (arrival.time_left > entry.request.patience + bounds_.late_slack ||
      (repeat && arrival.time_left > left + bounds_.late_slack)) {
    ++over_deadline_;
  }
}

auto PromiseLedger::CheckHarm(const Entry& entry, const SeenArrival& arrival, MonotonicTime now)
    -> void {
  const bool known = harm_.size() >= bounds_.crashes_most &&
                     now > harm_[bounds_.crashes_most - 1] + bounds_.stable;
  const auto& gateway = entry.request.gateway;
  // Trouble of the store excuses nothing.
  if (known && IsCalm(gateway, now - bounds_.stable, now) &&
      ++late_harm_ == bounds_.late_harm_most + 1) {
    Report("BUDGET", fmt::format("{} sent the harmful request to {} after it had ended {} targets",
                                 gateway, arrival.target_name, harm_.size()));
  }
  harm_.push_back(now);
  troubles_.Add(arrival.target_name, TroubleLog::Kind::kUnplanned, now, now + bounds_.crash);
}

auto PromiseLedger::CheckCold(const SeenArrival& arrival, MonotonicTime now) -> void {
  if (!troubles_.IsCalm(arrival.target_name, now - bounds_.stable, now)) return;
  auto& times = cold_arrivals_[arrival.target_name];
  times.push_back(now);
  while (times.front() + std::chrono::seconds(1) < now) times.pop_front();
  if (static_cast<double>(times.size()) > bounds_.cold_per_second) {
    Report("FAILBACK", fmt::format("{} got {} requests in a second while it was cold",
                                   arrival.target_name, times.size()));
  }
}

auto PromiseLedger::OnWorkEnd(const std::string& id, MonotonicTime now) -> void {
  if (auto* entry = Find(id); entry != nullptr) entry->work_end = now;
}

auto PromiseLedger::OnStopBegin(const std::string& gateway, MonotonicTime now) -> void {
  processes_[gateway].stop_began = now;
}

auto PromiseLedger::OnProcessStart(const std::string& gateway, MonotonicTime now) -> void {
  processes_[gateway] = {true, now, std::nullopt, 0};
  for (auto& [target, limit] : limits_) limit.told.erase(gateway);
}

auto PromiseLedger::OnProcessEnd(const std::string& gateway, bool expected, const std::string& how)
    -> void {
  auto& process = processes_[gateway];
  process.running = false;
  process.since = SystemClock().Now();
  if (!expected) Report("FAULT", fmt::format("{} ended by itself: {}", gateway, how));
}

auto PromiseLedger::OnStopOverdue(const std::string& gateway) -> void {
  Report("STOP", gateway + " was still running when the grace of its stop was over");
}

auto PromiseLedger::OnReadyAnswer(const std::string& gateway, bool ready, MonotonicTime now)
    -> void {
  const auto& process = processes_[gateway];
  if (!ready || !process.running || !process.stop_began.has_value()) return;
  if (now > *process.stop_began + kUnreadyTime) {
    Report("DRAIN", fmt::format("{} says that it is ready {} ms after SIGTERM", gateway,
                                Milliseconds(now - *process.stop_began)));
  }
}

auto PromiseLedger::OnDirectoryAnswer(const std::string& asked,
                                      const std::vector<std::string>& named, MonotonicTime now)
    -> void {
  if (!InTouch(asked, now)) return;
  const bool one_runs = std::any_of(named.begin(), named.end(), [&](const std::string& name) {
    return processes_[name].running;
  });
  for (const auto& name : named) {
    const auto& process = processes_[name];
    if (!one_runs || process.running ||
        now < process.since + bounds_.stable + bounds_.directory_lag) {
      continue;
    }
    if (++dead_named_ > bounds_.directory_most) {
      Report("DRAIN", fmt::format("the directory of {} names {}, which ended {} ms ago", asked,
                                  name, Milliseconds(now - process.since)));
    }
  }
}

auto PromiseLedger::OnConfigVersion(const std::string& gateway, std::uint64_t version) -> void {
  auto& known = processes_[gateway].version;
  if (version < known) {
    Report("CONFIG", fmt::format("{} went back from version {} to {}", gateway, known, version));
  }
  known = version;
}

auto PromiseLedger::Finish() -> void {
  FinishRetries();
  FinishGone();
  FinishRecovery();
  FinishStranded();
  if (timed_out_ >= bounds_.late_least &&
      timed_out_late_ > static_cast<int>(bounds_.late_part * timed_out_)) {
    Report("CONFIG", fmt::format("{} of {} requests beyond their route's timeout were answered "
                                 "half a second late",
                                 timed_out_late_, timed_out_));
  }
  if (over_deadline_ > bounds_.over_budget_most &&
      over_deadline_ > bounds_.over_budget_part * with_deadline_) {
    Report("BUDGET", fmt::format("{} of {} attempts were given more time than is left",
                                 over_deadline_, with_deadline_));
  }
}

auto PromiseLedger::FinishRetries() -> void {
  const auto window = bounds_.retry_window;
  for (const auto& [service, repeats] : repeats_) {
    const auto& requests = service_requests_[service];
    for (const auto begin : repeats) {
      const auto count = CountIn(repeats, begin, begin + window);
      auto basis = CountIn(requests, begin, begin + window);
      for (const auto back : {window, window / 2}) {
        basis = std::max(basis, CountIn(requests, begin - back, begin - back + window));
      }
      const auto most = bounds_.retry_ratio * static_cast<double>(basis) + bounds_.retry_allowance;
      if (static_cast<double>(count) > most) {
        Report("BUDGET", fmt::format("service {} got {} repeats in a window with {} requests",
                                     service, count, basis));
        break;
      }
    }
  }
}

auto PromiseLedger::FinishGone() -> void {
  int long_work = 0;
  int worked_on = 0;
  for (const auto& [id, entry] : requests_) {
    if (!entry.gone.has_value() || entry.runs == 0 || entry.request.at_most_once) continue;
    const auto gone = *entry.gone;
    const auto limit = gone + bounds_.late_slack;
    const auto begin = gone - bounds_.stable;
    if (entry.last_arrival > gone || entry.work_planned_end < limit ||
        !InTouch(entry.request.gateway, limit) ||
        !troubles_.IsCalm(entry.last_target, begin, limit)) {
      continue;
    }
    ++long_work;
    if (!entry.work_end.has_value() || *entry.work_end > limit) ++worked_on;
  }
  if (long_work >= bounds_.late_least &&
      worked_on > static_cast<int>(bounds_.late_part * long_work)) {
    Report("GONE", fmt::format("targets worked on for {} of {} callers who had left", worked_on,
                               long_work));
  }
  if (gone_arrivals_ > bounds_.gone_arrivals_most) {
    Report("GONE",
           fmt::format("{} requests reached targets after their callers had left", gone_arrivals_));
  }
}

auto PromiseLedger::FinishRecovery() -> void {
  if (!recovered_.has_value()) return;
  int sent = 0;
  int served = 0;
  for (const auto& [id, entry] : requests_) {
    if (entry.sent < *recovered_) continue;
    ++sent;
    if (entry.served) ++served;
  }
  if (sent == 0 || served < static_cast<int>(bounds_.recovered_part * sent)) {
    Report("RECOVER",
           fmt::format("{} of {} requests were served after all faults had ended", served, sent));
  }
}

}  // namespace heatherspan
