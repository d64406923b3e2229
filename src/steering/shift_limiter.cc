#include "steering/shift_limiter.h"

#include <algorithm>

namespace heatherspan {
namespace {

/// Tolerance for the rounding of sums of doubles; far below one request.
constexpr double kEpsilon = 1e-9;

/// The ratio of the growth per interval to the cap. At a ratio of 1, random arrivals raised the sum
/// over seven nodes to 21.2 percentage points, with a cap of 20, in windows between two decisions.
/// At 0.9, requests that attempted two regions under overload still raised it to 20.6.
constexpr double kGrowthRatio = 0.85;

auto ShiftCapRefusal(Duration retry_after) -> Refusal {
  return {Verdict::kNotRun, Reason::kShiftCap,
          std::chrono::ceil<std::chrono::milliseconds>(retry_after)};
}

}  // namespace

auto ShiftLimiter::Configure(const Document& document) -> void {
  for (const auto& region : document.regions) RegionIndex(region.name);
  rules_.clear();
  for (const auto& service : document.services) {
    rules_[service.name] = {service.shift_percent / 100.0, service.shift_interval};
  }
  absl::erase_if(flows_, [&](const auto& item) { return !rules_.contains(item.first.first); });
  for (auto& [key, flow] : flows_) flow.history.SetInterval(rules_[key.first].interval);
}

auto ShiftLimiter::SetHealthy(const RegionName& region, bool healthy, MonotonicTime now) -> void {
  auto& health = health_[RegionIndex(region)];
  if (healthy && !health.healthy) health.healthy_since = now;
  health.healthy = healthy;
}

auto ShiftLimiter::OnRequest(const ServiceName& service, const RegionName& client_region,
                             MonotonicTime now) -> void {
  const auto client_index = RegionIndex(client_region);
  auto& flow = FlowOf(service, client_index, now);
  flow.history.AddRequest();
  const double step = kGrowthRatio * rules_[service].fraction;
  // The limit is the fraction sent one interval ago plus one step, which keeps the steps even. The
  // fraction of the whole previous interval lags behind by half an interval.
  for (std::size_t region = 0; region < flow.credit.size(); ++region) {
    flow.credit[region] =
        AddCredit(flow.credit[region], flow.history.FractionOneIntervalAgo(region), step);
  }
  // Without the common credit of the remote regions, two of them could each grow by a whole step in
  // the first half of an interval.
  const double remote_fraction = 1 - flow.history.FractionOneIntervalAgo(client_index);
  flow.remote_credit = AddCredit(flow.remote_credit, remote_fraction, step);
}

auto ShiftLimiter::AddCredit(double credit, double before, double step) -> double {
  // The remaining fraction of a request is kept. Otherwise a fraction of 0.7 would admit only half
  // of the requests.
  return std::min(1.0, credit) + std::min(1.0, before + step);
}

auto ShiftLimiter::Admit(const ServiceName& service, const RegionName& client_region,
                         const RegionName& serving, MonotonicTime now) -> std::optional<Refusal> {
  const auto client_index = RegionIndex(client_region);
  const auto serving_index = RegionIndex(serving);
  auto& flow = FlowOf(service, client_index, now);
  const auto& rule = rules_[service];
  const double growth = Growth(flow.history, serving_index, regions_.size());
  const double limit = GrowthLimit(rule, client_index, serving_index, now);
  const bool is_remote = serving_index != client_index;
  const double credit = is_remote ? std::min(flow.credit[serving_index], flow.remote_credit)
                                  : flow.credit[serving_index];
  if (growth > limit + kEpsilon || credit < 1 - kEpsilon) return ShiftCapRefusal(rule.interval);
  flow.credit[serving_index] -= 1;
  if (is_remote) flow.remote_credit -= 1;
  flow.history.AddSent(serving_index);
  return std::nullopt;
}

auto ShiftLimiter::Fraction(const ServiceName& service, const RegionName& client_region,
                            const RegionName& serving, MonotonicTime now) -> double {
  const auto serving_index = RegionIndex(serving);
  const auto& history = FlowOf(service, RegionIndex(client_region), now).history;
  if (history.requests() == 0) return client_region == serving ? 1 : 0;
  return static_cast<double>(history.sent(serving_index)) / history.requests();
}

auto ShiftLimiter::RegionIndex(const RegionName& region) -> std::size_t {
  const auto found = std::find(regions_.begin(), regions_.end(), region);
  const auto index = static_cast<std::size_t>(found - regions_.begin());
  if (found != regions_.end()) return index;
  regions_.push_back(region);
  health_.emplace_back();
  for (auto& [key, flow] : flows_) {
    flow.history.GrowRegions(regions_.size());
    flow.credit.resize(regions_.size());
  }
  return index;
}

auto ShiftLimiter::FlowOf(const ServiceName& service, std::size_t client_region, MonotonicTime now)
    -> Flow& {
  const FlowKey key(service, regions_[client_region]);
  auto found = flows_.find(key);
  if (found == flows_.end()) {
    ShiftHistory history(regions_.size(), client_region, rules_[service].interval, now);
    Flow flow{std::move(history), std::vector<double>(regions_.size()), 0};
    found = flows_.emplace(key, std::move(flow)).first;
  }
  auto& flow = found->second;
  flow.history.Advance(now);
  return flow;
}

auto ShiftLimiter::GrowthLimit(const Rule& rule, std::size_t client_region, std::size_t serving,
                               MonotonicTime now) const -> double {
  if (serving != client_region) return rule.fraction;
  const auto& health = health_[client_region];
  const bool settled = health.healthy && (!health.healthy_since.has_value() ||
                                          now - *health.healthy_since >= kMinHealthyTime);
  return settled ? rule.fraction : 0;
}

auto ShiftLimiter::Growth(const ShiftHistory& history, std::size_t serving, std::size_t regions)
    -> double {
  // Without a call of OnRequest, the request to admit is the only one.
  const double requests = std::max(1U, history.requests());
  const auto growth_of = [&](std::size_t region, std::uint32_t more) {
    const double fraction = (history.sent(region) + more) / requests;
    return std::max(0.0, std::min(1.0, fraction) - history.PreviousFraction(region));
  };
  const double own = growth_of(serving, 1);
  if (own <= 0) return 0;
  double sum = own;
  for (std::size_t region = 0; region < regions; ++region) {
    if (region != serving) sum += growth_of(region, 0);
  }
  return sum;
}

}  // namespace heatherspan
