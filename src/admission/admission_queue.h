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

/// The bounded queue of an executing node.
///
/// Between teams, requests are taken by deficit round robin in proportion to the team weights;
/// within a team, those of the most valuable service first, then in order of arrival. When the
/// queue is full, the least valuable waiting request makes room for a more valuable one; among
/// equally valuable ones, the team with the most waiting requests for its weight gives way.
class AdmissionQueue {
 public:
  /// The part of a request's time that it may wait. A queue that fills up to the deadlines would
  /// start all work so late that a good part of it ends too late.
  static constexpr double kMaxWaitFraction = 0.25;

  explicit AdmissionQueue(std::size_t capacity);

  /// Queues the request, or says why not: kDeadline when the estimated wait and the expected time
  /// exceed the deadline, kOverload when the wait would be too long a part of the request's time or
  /// when all waiting requests are more valuable, kTeamLimit when
  /// its team already has more than its part of an equally valuable class, otherwise kQueueFull.
  /// Refusals are "not run" and carry Retry-After.
  auto Offer(const WaitingRequest& request, const ServiceThroughput& throughput, MonotonicTime now)
      -> OfferResult;

  /// Takes the next request of a service for which `can_run` holds. Never returns one that could no
  /// longer meet its deadline.
  auto TakeNext(absl::FunctionRef<bool(const ServiceName&)> can_run, MonotonicTime now)
      -> std::optional<WaitingRequest>;

  /// Takes out the requests that can no longer meet their deadlines.
  auto TakeExpired(MonotonicTime now) -> std::vector<WaitingRequest>;

  /// Takes out a request, for example when its caller has gone. False when it isn't waiting.
  auto Remove(std::uint64_t id) -> bool;

  auto size() const -> std::size_t { return entries_.size(); }
  auto Queued(const ServiceName& service) const -> std::size_t;

  /// When the first waiting request runs out of time.
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
    std::map<std::uint64_t, std::uint64_t> ids;  ///< By arrival.
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
  /// Waiting requests of the team, and `more`, for its weight.
  auto WaitingPerWeight(const TeamName& team, std::size_t additional, double weight) const
      -> double;
  auto Insert(const WaitingRequest& request, const ServiceThroughput& throughput) -> void;
  auto Extract(std::uint64_t id) -> WaitingRequest;
  /// The request of the team that is taken next; nothing when none can run.
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
  TeamName current_team_;  ///< The team that is served now.
  std::set<std::pair<MonotonicTime, std::uint64_t>> by_latest_start_;
};

}  // namespace heatherspan
