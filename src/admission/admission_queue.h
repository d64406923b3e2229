#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/functional/function_ref.h"
#include "admission/offer_result.h"
#include "admission/service_throughput.h"
#include "admission/waiting_request.h"
#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

namespace heatherspan {

/// The bounded request queue of an executing node, the entry VM that sends requests to its own
/// targets.
///
/// Deficit round robin schedules the teams in proportion to their weights. Within a team, requests
/// are taken by descending value of their service, then in order of arrival. When the queue is
/// full, a new request displaces the least valuable waiting request if that one has a lower value.
/// Among requests of equal value, a request of the team with the most waiting requests per weight
/// is displaced.
class AdmissionQueue {
 public:
  /// Maximum queue wait as a fraction of the time left to the request's deadline. If requests could
  /// wait until just before their deadlines, many of them would start too late and miss them.
  static constexpr double kMaxWaitFraction = 0.25;

  explicit AdmissionQueue(std::size_t capacity);

  /// Queues the request or refuses it with one of these reasons:
  /// - kInternal: a request with this id is already waiting.
  /// - kDeadline: the estimated queue wait plus the expected time exceeds the deadline.
  /// - kOverload: the estimated queue wait exceeds kMaxWaitFraction of the time left to the
  ///   deadline, or the queue is full of more valuable requests.
  /// - kTeamLimit: the least valuable waiting requests have the same value as the request, its team
  ///   has the most waiting requests per weight among their teams, and further teams have waiting
  ///   requests.
  /// - kQueueFull: the queue is full and no other reason applies.
  /// Refusals have the verdict kNotRun and carry a Retry-After time.
  auto Offer(const WaitingRequest& request, const ServiceThroughput& throughput, MonotonicTime now)
      -> OfferResult;

  /// Removes and returns the next request of a service for which `can_run` is true. Never returns a
  /// request that can no longer meet its deadline.
  auto TakeNext(absl::FunctionRef<bool(const ServiceName&)> can_run, MonotonicTime now)
      -> std::optional<WaitingRequest>;

  /// Removes and returns the requests that can no longer meet their deadlines.
  auto TakeExpired(MonotonicTime now) -> std::vector<WaitingRequest>;

  /// Removes a request, for example when its caller has disconnected. Returns false when no request
  /// with this id is waiting.
  auto Remove(std::uint64_t id) -> bool;

  auto size() const -> std::size_t { return entries_.size(); }
  auto Queued(const ServiceName& service) const -> std::size_t;

  /// The earliest time after which a waiting request can no longer meet its deadline.
  auto NextExpiry() const -> std::optional<MonotonicTime>;

 private:
  struct Entry {
    WaitingRequest request;
    MonotonicTime latest_start;
    std::uint64_t arrival = 0;
  };
  /// The waiting requests of one service.
  struct ServiceQueue {
    double value = 1;
    TeamName team;
    std::map<std::uint64_t, std::uint64_t> ids;  ///< Request ids by arrival number.
  };
  struct Team {
    double weight = 1;
    double deficit = 0;
    std::size_t waiting = 0;
  };

  auto EstimatedWait(const WaitingRequest& request, const ServiceThroughput& throughput) const
      -> Duration;
  auto MakeRoom(const WaitingRequest& request, Duration wait, MonotonicTime now) -> OfferResult;
  auto MakeRoomAtEqualValue(const WaitingRequest& request, const ServiceQueue& victim,
                            Duration wait) -> OfferResult;
  auto Displace(std::uint64_t id, Reason reason, Duration wait) -> OfferResult;
  auto LeastValuableServiceQueue() const -> const ServiceQueue&;
  /// The team's waiting requests plus `additional`, divided by the team's weight. `weight` is used
  /// for a team without waiting requests.
  auto WaitingPerWeight(const TeamName& team, std::size_t additional, double weight) const
      -> double;
  auto Insert(const WaitingRequest& request, const ServiceThroughput& throughput) -> void;
  auto Extract(std::uint64_t id) -> WaitingRequest;
  /// The id of the team's request that is taken next; nullopt when none can run.
  auto NextRequestOf(const TeamName& team, absl::FunctionRef<bool(const ServiceName&)> can_run,
                     MonotonicTime now) const -> std::optional<std::uint64_t>;
  auto FirstWithinDeadline(const ServiceQueue& service_queue, MonotonicTime now) const
      -> std::optional<std::uint64_t>;
  auto SmallestWeight() const -> double;

  std::size_t capacity_;
  std::uint64_t next_arrival_ = 1;
  absl::flat_hash_map<std::uint64_t, Entry> entries_;
  std::map<ServiceName, ServiceQueue> service_queues_;
  std::map<TeamName, Team> teams_;
  TeamName current_team_;  ///< The team of the latest turn of the round robin.
  std::set<std::pair<MonotonicTime, std::uint64_t>> by_latest_start_;
};

}  // namespace heatherspan
