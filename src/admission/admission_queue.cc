#include "admission/admission_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace heatherspan {
namespace {

constexpr double kMinTeamWeight = 1e-3;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

auto NotRunRefusal(Reason reason, Duration wait) -> Refusal {
  const auto retry_after = std::max(wait, kMinRetryAfter);
  return {Verdict::kNotRun, reason, std::chrono::ceil<std::chrono::milliseconds>(retry_after)};
}

auto RefuseOffer(Reason reason, Duration wait) -> OfferResult {
  return {NotRunRefusal(reason, wait), {}};
}

}  // namespace

AdmissionQueue::AdmissionQueue(std::size_t capacity) : capacity_(capacity) {}

auto AdmissionQueue::Offer(const WaitingRequest& request, const ServiceThroughput& throughput,
                           MonotonicTime now) -> OfferResult {
  const auto wait = EstimatedWait(request, throughput);
  if (entries_.contains(request.id)) return RefuseOffer(Reason::kInternal, wait);
  if (now + wait + throughput.expected_time > request.deadline)
    return RefuseOffer(Reason::kDeadline, wait);
  const std::chrono::duration<double> wait_seconds = wait;
  if (wait_seconds > (request.deadline - now) * kMaxWaitFraction)
    return RefuseOffer(Reason::kOverload, wait);
  OfferResult result;
  if (entries_.size() >= capacity_) result = MakeRoom(request, wait, now);
  if (!result.refusal.has_value()) Insert(request, throughput);
  return result;
}

auto AdmissionQueue::TakeNext(absl::FunctionRef<bool(const ServiceName&)> can_run,
                              MonotonicTime now) -> std::optional<WaitingRequest> {
  if (teams_.empty()) return std::nullopt;
  const double smallest_weight = SmallestWeight();
  auto team = teams_.find(current_team_);
  // Each visit adds a deficit of at least one request, so the second round takes a request if any
  // request can run.
  for (std::size_t visits = 0; visits <= 2 * teams_.size(); ++visits) {
    if (team != teams_.end()) {
      const auto id = NextRequestOf(team->first, can_run, now);
      if (id.has_value() && team->second.deficit >= 1) {
        team->second.deficit -= 1;
        current_team_ = team->first;
        return Extract(*id);
      }
    }
    team = team == teams_.end() ? teams_.upper_bound(current_team_) : std::next(team);
    if (team == teams_.end()) team = teams_.begin();
    if (NextRequestOf(team->first, can_run, now).has_value()) {
      team->second.deficit += team->second.weight / smallest_weight;
    }
  }
  return std::nullopt;
}

auto AdmissionQueue::TakeExpired(MonotonicTime now) -> std::vector<WaitingRequest> {
  std::vector<WaitingRequest> expired;
  while (!by_latest_start_.empty() && by_latest_start_.begin()->first < now) {
    expired.push_back(Extract(by_latest_start_.begin()->second));
  }
  return expired;
}

auto AdmissionQueue::Remove(std::uint64_t id) -> bool {
  if (!entries_.contains(id)) return false;
  Extract(id);
  return true;
}

auto AdmissionQueue::Queued(const ServiceName& service) const -> std::size_t {
  const auto found = service_queues_.find(service);
  return found == service_queues_.end() ? 0 : found->second.ids.size();
}

auto AdmissionQueue::NextExpiry() const -> std::optional<MonotonicTime> {
  if (by_latest_start_.empty()) return std::nullopt;
  return by_latest_start_.begin()->first;
}

auto AdmissionQueue::EstimatedWait(const WaitingRequest& request,
                                   const ServiceThroughput& throughput) const -> Duration {
  const auto ahead = static_cast<Duration::rep>(Queued(request.service));
  const auto wait_for_slots =
      throughput.expected_time * (ahead + 1) / std::max(1, throughput.usable_slots);
  const auto wait_for_cap_share =
      throughput.min_start_interval * static_cast<Duration::rep>(entries_.size());
  return std::max(wait_for_slots, wait_for_cap_share);
}

auto AdmissionQueue::MakeRoom(const WaitingRequest& request, Duration wait, MonotonicTime now)
    -> OfferResult {
  if (entries_.empty()) return RefuseOffer(Reason::kQueueFull, wait);  // The capacity is zero.
  const auto& [latest_start, earliest] = *by_latest_start_.begin();
  if (latest_start < now) return Displace(earliest, Reason::kDeadline, wait);
  const auto& victim = LeastValuableServiceQueue();
  if (victim.value > request.value) return RefuseOffer(Reason::kOverload, wait);
  if (victim.value < request.value) {
    return Displace(victim.ids.rbegin()->second, Reason::kOverload, wait);
  }
  return MakeRoomAtEqualValue(request, victim, wait);
}

auto AdmissionQueue::MakeRoomAtEqualValue(const WaitingRequest& request, const ServiceQueue& victim,
                                          Duration wait) -> OfferResult {
  if (victim.team == request.team) {
    return RefuseOffer(teams_.size() > 1 ? Reason::kTeamLimit : Reason::kQueueFull, wait);
  }
  const double victim_load = WaitingPerWeight(victim.team, 0, 1);
  const double request_load = WaitingPerWeight(request.team, 1, request.team_weight);
  if (victim_load <= request_load) return RefuseOffer(Reason::kQueueFull, wait);
  return Displace(victim.ids.rbegin()->second, Reason::kTeamLimit, wait);
}

auto AdmissionQueue::Displace(std::uint64_t id, Reason reason, Duration wait) -> OfferResult {
  Extract(id);
  return {{}, OfferResult::Displaced{id, NotRunRefusal(reason, wait)}};
}

auto AdmissionQueue::LeastValuableServiceQueue() const -> const ServiceQueue& {
  const auto is_displaced_before = [&](const auto& a, const auto& b) {
    if (a.second.value != b.second.value) return a.second.value < b.second.value;
    return WaitingPerWeight(a.second.team, 0, 1) > WaitingPerWeight(b.second.team, 0, 1);
  };
  return std::min_element(service_queues_.begin(), service_queues_.end(), is_displaced_before)
      ->second;
}

auto AdmissionQueue::WaitingPerWeight(const TeamName& team, std::size_t additional,
                                      double weight) const -> double {
  const auto found = teams_.find(team);
  if (found == teams_.end())
    return static_cast<double>(additional) / std::max(weight, kMinTeamWeight);
  return static_cast<double>(found->second.waiting + additional) / found->second.weight;
}

auto AdmissionQueue::Insert(const WaitingRequest& request, const ServiceThroughput& throughput)
    -> void {
  const auto latest_start = request.deadline - throughput.expected_time;
  const auto arrival = next_arrival_++;
  auto& service_queue = service_queues_[request.service];
  service_queue.value = request.value;
  service_queue.team = request.team;
  service_queue.ids.emplace(arrival, request.id);
  auto& team = teams_[request.team];
  team.weight = std::max(request.team_weight, kMinTeamWeight);
  ++team.waiting;
  by_latest_start_.emplace(latest_start, request.id);
  entries_.emplace(request.id, Entry{request, latest_start, arrival});
}

auto AdmissionQueue::Extract(std::uint64_t id) -> WaitingRequest {
  const auto found = entries_.find(id);
  const auto entry = found->second;
  entries_.erase(found);
  by_latest_start_.erase({entry.latest_start, id});
  const auto service_queue = service_queues_.find(entry.request.service);
  service_queue->second.ids.erase(entry.arrival);
  if (service_queue->second.ids.empty()) service_queues_.erase(service_queue);
  const auto team = teams_.find(entry.request.team);
  // A team without waiting requests loses its deficit; otherwise it could take a burst of turns
  // later.
  if (--team->second.waiting == 0) teams_.erase(team);
  return entry.request;
}

auto AdmissionQueue::NextRequestOf(const TeamName& team,
                                   absl::FunctionRef<bool(const ServiceName&)> can_run,
                                   MonotonicTime now) const -> std::optional<std::uint64_t> {
  std::optional<std::uint64_t> best;
  const auto comes_before = [&](const Entry& a, const Entry& b) {
    if (a.request.value != b.request.value) return a.request.value > b.request.value;
    return a.arrival < b.arrival;
  };
  for (const auto& [service, service_queue] : service_queues_) {
    if (service_queue.team != team || !can_run(service)) continue;
    const auto id = FirstWithinDeadline(service_queue, now);
    if (!id.has_value()) continue;
    if (!best.has_value() ||
        comes_before(entries_.find(*id)->second, entries_.find(*best)->second)) {
      best = id;
    }
  }
  return best;
}

auto AdmissionQueue::FirstWithinDeadline(const ServiceQueue& service_queue, MonotonicTime now) const
    -> std::optional<std::uint64_t> {
  for (const auto& [arrival, id] : service_queue.ids) {
    if (entries_.find(id)->second.latest_start >= now) return id;
  }
  return std::nullopt;
}

auto AdmissionQueue::SmallestWeight() const -> double {
  double smallest = teams_.begin()->second.weight;
  for (const auto& [name, team] : teams_) smallest = std::min(smallest, team.weight);
  return smallest;
}

}  // namespace heatherspan
