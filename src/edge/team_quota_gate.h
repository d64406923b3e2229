#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/quota_client.h"
#include "gateway/quota_exchange.h"
#include "gateway/quota_fraction.h"
#include "gateway/quota_keeper.h"
#include "gateway/team_quota_ruling.h"
#include "gateway/team_quota_table.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Admits requests of teams within their quotas, and keeps the quotas for other entry VMs if this
/// one is chosen. Without teams that have a quota it sends nothing.
class TeamQuotaGate {
 public:
  using OnRuling = std::function<void(const TeamQuotaRuling&)>;

  /// What became of an ask: the answer, or how it failed.
  struct Reply {
    std::optional<QuotaAnswer> answer;
    QuotaClient::Failure failure = QuotaClient::Failure::kLost;
  };
  using OnReply = std::function<void(const Reply&)>;
  /// Sends an ask to another VM. Replies once, not before the call returns.
  using SendAsk = std::function<void(const Endpoint& keeper, const QuotaAsk& ask, Duration timeout,
                                     OnReply on_reply)>;

  TeamQuotaGate(const NodeName& self, InstanceId instance, WorkerPool& workers, EventLog& log,
                MetricsRegistry& metrics, SendAsk send);

  auto SetRule(const TeamQuotaRule& rule, Duration change_bound) -> void;
  auto Apply(const std::vector<Team>& teams) -> void;
  auto OnAnnouncementRenewed(MonotonicTime at) -> void { fraction_.OnAnnouncementRenewed(at); }
  auto OnFirstState(const std::vector<EntryVm>& announced, MonotonicTime at) -> void {
    fraction_.OnFirstState(announced, at);
  }
  /// Called several times per second with the announced entry VMs.
  auto OnTick(const std::vector<EntryVm>& announced, MonotonicTime now) -> void;
  /// Another VM's ask. Nothing if this VM can't be a keeper.
  auto OnAsk(const QuotaAsk& ask) -> std::optional<QuotaAnswer>;
  /// The process ends soon: other VMs choose another keeper.
  auto BeginStop() -> void;

  /// Takes one request from the team's quota. The ruling may come before the call returns.
  auto Acquire(const TeamName& team, OnRuling on_ruling) -> void;
  /// A request that was admitted has not run and will not run.
  auto GiveBack(const TeamName& team, const TeamQuotaRuling& ruling) -> void;

 private:
  auto Now() const -> MonotonicTime { return workers_.Now(); }
  auto Timing() const -> QuotaTiming { return QuotaTiming::For(fraction_.vm_count()); }
  /// Begins exchanges that are due, and sets the timer for the next.
  auto Proceed() -> void;
  auto Ask() -> void;
  auto Probe(MonotonicTime now) -> void;
  auto OnAnswered(const Reply& reply) -> void;
  auto DeliverRulings() -> void;
  auto Report(const TeamName& team, const TeamQuotaRuling& ruling, MonotonicTime now) -> void;
  auto LogChanges(bool keeper_changed) -> void;
  auto SetMetrics(MonotonicTime now) -> void;

  NodeName self_;
  WorkerPool& workers_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const SendAsk send_;
  TeamQuotaTable quotas_;
  QuotaFraction fraction_;
  QuotaKeeper keeper_;
  QuotaClient client_;
  struct Waiting {
    TeamName team;
    OnRuling on_ruling;
  };
  absl::flat_hash_map<QuotaClient::Waiter, Waiting> waiting_;
  QuotaClient::Waiter last_waiter_ = 0;
  absl::flat_hash_map<TeamName, MonotonicTime> refused_at_;
  QuotaFraction::Kind logged_kind_ = QuotaFraction::Kind::kLearning;
  bool stopping_ = false;
  std::shared_ptr<WorkerPool::Timer> timer_;
  MonotonicTime timer_at_{};
};

}  // namespace heatherspan
