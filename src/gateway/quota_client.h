#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/entry_vm_directory.h"
#include "gateway/local_quota.h"
#include "gateway/quota_exchange.h"
#include "gateway/quota_timing.h"
#include "gateway/team_quota_ruling.h"
#include "gateway/team_quota_table.h"
#include "gateway/team_tokens.h"

namespace heatherspan {

/// Admits this entry VM's requests within the quotas of their teams. While the VM reaches the
/// keeper, its own fraction is lent to the keeper, and requests use tokens from there. A lost
/// keeper costs the fraction until the loan ends; then the VM uses it itself, or lends it to the
/// next keeper.
class QuotaClient {
 public:
  using Waiter = std::uint64_t;

  /// How an exchange ended without an answer.
  enum class Failure {
    kLost,      ///< The keeper may have got the message.
    kDeclined,  ///< The keeper holds nothing of this VM: it is ending, has ended or knows no
                ///< quotas.
  };

  /// A VM that has not answered is asked again after so long, and chosen again once it answers.
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);
  /// VMs that were announced so lately stay eligible, since the store's view may be at fault.
  static constexpr Duration kKeeperRetention = std::chrono::seconds(20);
  static constexpr std::size_t kMaxWaiters = 1000;

  QuotaClient(NodeName self, const TeamQuotaTable& quotas)
      : self_(std::move(self)), quotas_(quotas) {}

  /// Takes one token. Returns nothing if the ruling comes later.
  auto Acquire(const TeamName& team, Waiter waiter, MonotonicTime now)
      -> std::optional<TeamQuotaRuling>;
  /// The request with the token has not run and will not run.
  auto GiveBack(const TeamName& team, MonotonicTime usable_until, MonotonicTime now) -> void;

  /// Takes over this VM's fraction and the announced VMs. Returns whether the keeper has changed.
  auto Update(double fraction, const QuotaTiming& timing, const std::vector<EntryVm>& announced,
              MonotonicTime now) -> bool;
  auto OnQuotasChanged() -> void;

  /// When to begin the next exchange; nothing during one, and without a keeper.
  auto NextAskAt() const -> std::optional<MonotonicTime>;
  /// Begins an exchange with the keeper, which takes at most `ask_timeout`.
  auto BeginAsk(MonotonicTime now) -> QuotaAsk;
  auto ask_timeout() const -> Duration { return timing_.token_life; }
  auto OnAnswer(const QuotaAnswer& answer, MonotonicTime now) -> void;
  auto OnFailure(Failure failure, MonotonicTime now) -> void;
  /// The rulings on requests that have waited.
  /// Returns a VM that is to be the keeper if it answers an ask without content, and its answer is
  /// to be told.
  auto BeginProbe(MonotonicTime now) -> std::optional<EntryVm>;
  auto OnProbed(const NodeName& vm, bool answered) -> void;
  auto TakeRulings() -> std::vector<std::pair<Waiter, TeamQuotaRuling>>;

  auto keeper() const -> const std::optional<EntryVm>& { return keeper_; }
  auto IsLent(MonotonicTime now) const -> bool { return now < lent_until_; }
  auto local_fraction() const -> double { return local_.fraction(); }
  /// Calls with each team that has been asked for lately and its tokens.
  template <class Visitor>
  auto ForEachTeam(Visitor visit, MonotonicTime now) const -> void {
    for (const auto& [team, state] : teams_) visit(team, state.tokens.Count(now));
  }
  auto TokensOf(const TeamName& team, MonotonicTime now) const -> int;

 private:
  struct Waiting {
    Waiter waiter = 0;
    MonotonicTime since;
  };
  struct TeamState {
    TeamTokens tokens;
    std::deque<Waiting> waiting;
    MonotonicTime dry_until{};  ///< The keeper has no more tokens for now.
    Duration retry_after{};
  };
  struct Exchange {
    MonotonicTime sent_at;
    std::vector<TeamName> teams;
    bool releases;  ///< The loan ends with it.
  };

  auto ChooseKeeper(MonotonicTime now) -> void;
  auto UpdateLocal(MonotonicTime now) -> void;
  auto MayLend(MonotonicTime now) const -> bool;
  /// When tokens of the VM that holds the loan no longer count beside those of another.
  auto FreeAt() const -> MonotonicTime;
  auto HasKeeper(MonotonicTime now) const -> bool;
  /// Whether a request without a token may get one soon.
  auto MayWait(const TeamState& state, MonotonicTime now) const -> bool;
  static auto Admit(MonotonicTime usable_until) -> TeamQuotaRuling {
    return {true, {}, usable_until};
  }
  auto Refuse(TeamState& state, MonotonicTime now) -> TeamQuotaRuling;
  /// Rules on requests that have waited, as far as it can be.
  auto Settle(const TeamName& team, TeamState& state, MonotonicTime now) -> void;
  auto SettleAll(MonotonicTime now) -> void;

  NodeName self_;
  const TeamQuotaTable& quotas_;
  QuotaTiming timing_ = QuotaTiming::For(1);
  double fraction_ = 0;
  LocalQuota local_;
  absl::flat_hash_map<TeamName, TeamState> teams_;
  std::size_t waiters_ = 0;
  std::vector<std::pair<Waiter, TeamQuotaRuling>> rulings_;

  struct Candidate {
    EntryVm vm;
    MonotonicTime seen_at;
    bool is_suspect = false;  ///< It has not answered.
    MonotonicTime probe_at{};
  };
  absl::flat_hash_map<NodeName, Candidate> candidates_;
  std::optional<EntryVm> keeper_;
  std::optional<QuotaStamp> stamp_;  ///< Of the keeper's last answer.
  MonotonicTime stamp_at_{};         ///< When it was received.
  NodeName lent_to_;
  MonotonicTime lent_until_{};
  std::optional<Exchange> exchange_;
  MonotonicTime last_ask_at_{};
  bool is_active_ = false;  ///< There were requests lately.
  bool is_needed_ = false;  ///< Requests wait, or the loan is not made yet.
  bool has_failed_ = false;
  bool is_releasing_ = false;  ///< Another VM is to be the keeper as soon as the loan has ended.
};

}  // namespace heatherspan
