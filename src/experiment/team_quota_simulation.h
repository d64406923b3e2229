#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/random.h"
#include "experiment/event_scheduler.h"
#include "gateway/quota_client.h"
#include "gateway/quota_fraction.h"
#include "gateway/quota_keeper.h"

namespace heatherspan {

/// Entry VMs in virtual time that admit requests of teams by the gateway's decisions. The demand of
/// the teams follows Zipf's law; the callers of a team keep to a few VMs for a while. Announcements
/// and messages take their time, and are lost or late.
class TeamQuotaSimulation {
 public:
  struct Options {
    std::size_t vm_count = 24;
    std::size_t team_count = 72;
    double requests_per_second = 1100;  ///< Of all teams.
    double message_loss = 0;            ///< Part of the messages.
    double message_delay = 0;           ///< Part of the messages that take up to 2 s longer.
    std::uint64_t seed = 1;
  };

  explicit TeamQuotaSimulation(const Options& options);

  auto RunFor(Duration duration) -> void { scheduler_.RunUntil(scheduler_.now() + duration); }
  /// Ends the VM's process and starts it again.
  auto Kill(std::size_t vm, Duration down) -> void;
  /// Cuts the VM off from the store, and from the other VMs if so wished, not from its callers.
  auto Cut(std::size_t vm, bool from_vms, Duration time) -> void;
  auto CutStore(Duration time) -> void { store_away_until_ = scheduler_.now() + time; }
  auto Heat(std::size_t team, double factor, Duration time) -> void;
  /// Changes the quota of the team. The VMs learn of it within a second.
  auto SetQuota(std::size_t team, double factor) -> void;
  /// Forgets what was counted so far.
  auto ResetCounts() -> void;

  auto vm_count() const -> std::size_t { return vms_.size(); }
  /// The VM that most running VMs have chosen for keeper.
  auto Keeper() const -> std::size_t;
  /// The largest number of requests in a window, as a part of what the rule allows, and its team.
  auto LargestUse() const -> std::pair<double, std::size_t> { return largest_use_; }
  /// The part of the requests within quota that were refused.
  auto Lost() const -> double;
  auto owed() const -> std::int64_t;
  /// The part of the admitted requests that have waited for a token.
  auto WaitedPart() const -> double;
  auto MessagesPerSecond() const -> double {
    return static_cast<double>(messages_) / CountedSeconds();
  }
  auto BytesPerSecond() const -> double { return static_cast<double>(bytes_) / CountedSeconds(); }

 private:
  struct Vm {
    EntryVm entry;
    std::size_t index = 0;
    int life = 0;  ///< Counts the starts of the process.
    bool is_up = false;
    MonotonicTime store_cut_until{};
    MonotonicTime vms_cut_until{};
    TeamQuotaTable quotas;
    std::optional<QuotaFraction> fraction;
    std::optional<QuotaKeeper> keeper;
    std::optional<QuotaClient> client;
    std::vector<EntryVm> announced;  ///< As the VM sees them.
    std::size_t news_read = 0;
    Duration news_delay{};
    MonotonicTime next_ask = MonotonicTime::max();  ///< For which a task is scheduled.
    absl::flat_hash_map<QuotaClient::Waiter, std::pair<std::size_t, bool>> waiting;
    QuotaClient::Waiter last_waiter = 0;
    std::uint64_t ask = 0;
  };
  struct TeamState {
    double rate = 0;  ///< Requests per second, usually.
    double heat = 1;
    MonotonicTime heat_until{};
    Team team;
    std::vector<std::size_t> vms;
    double owed_tokens = 0;
    MonotonicTime owed_at{};
    std::int64_t owed = 0;  ///< Requests within quota.
    std::int64_t admitted = 0;
    std::deque<MonotonicTime> runs;
    double earlier_allowed = 0;  ///< Until the VMs know of the lower quota.
    MonotonicTime earlier_until{};
  };
  struct News {
    MonotonicTime at;
    std::size_t vm = 0;
    bool announced = false;
  };

  auto CountedSeconds() const -> double;
  auto HasStore(const Vm& vm) const -> bool;
  auto Start(std::size_t vm) -> void;
  auto Renew(std::size_t vm, int life) -> void;
  auto ExpireLeases() -> void;
  auto Tick(std::size_t vm, int life) -> void;
  auto ReadNews(Vm& vm, MonotonicTime until) -> void;
  auto Proceed(Vm& vm) -> void;
  auto Ask(Vm& vm) -> void;
  auto Reply(std::size_t vm, int life, std::uint64_t ask, const std::optional<QuotaAnswer>& answer,
             QuotaClient::Failure failure) -> void;
  auto MessageTime(const Vm& from, const Vm& to) -> Duration;
  auto ScheduleRequest(std::size_t team) -> void;
  auto Request(std::size_t team) -> void;
  auto Rule(std::size_t team, bool owed, const TeamQuotaRuling& ruling) -> void;
  auto MoveCallers(std::size_t team) -> void;
  auto Teams() const -> std::vector<Team>;

  Options options_;
  Random random_;
  EventScheduler scheduler_{MonotonicTime(std::chrono::hours(1))};
  TeamQuotaRule rule_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::vector<TeamState> teams_;
  absl::flat_hash_map<std::string, std::size_t> vm_numbers_;
  std::vector<News> news_;
  std::vector<std::optional<MonotonicTime>> leases_;  ///< Until when, for each announced VM.
  MonotonicTime store_away_until_{};
  MonotonicTime counted_since_{};
  std::pair<double, std::size_t> largest_use_{0, 0};
  std::int64_t waited_ = 0;
  std::int64_t messages_ = 0;
  std::int64_t bytes_ = 0;
};

}  // namespace heatherspan
