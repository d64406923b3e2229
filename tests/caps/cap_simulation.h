#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "caps/cap_config.h"
#include "caps/grantor_term.h"
#include "caps/share_grantor.h"
#include "caps/share_holder.h"

namespace heatherspan {

/// Simulates the entry VMs of a region, their network and the store lease of the grantor role under
/// a seeded schedule of faults. After each time step, the simulation compares the sum of the usable
/// shares with the highest cap that is in force or was in force within the last lease lifetime.
class CapSimulation {
 public:
  struct Options {
    std::uint64_t seed = 1;
    bool faults = true;             ///< Loss, delay, duplicates, pauses, replacements, outages.
    bool cap_changes = true;        ///< A new version about every 25 s, in force within 9 s.
    bool ignore_lease_end = false;  ///< Holders never stop using the last grant.
  };
  struct Result {
    std::optional<std::string> violation;  ///< Only the first violation.
    double mean_usable_fraction = 0;       ///< Mean of the sum of usable shares divided by the cap.
    int terms = 0;                         ///< Acquisitions of the role.
    int pauses = 0;
    int replacements = 0;
    int versions = 1;
  };

  explicit CapSimulation(const Options& options);
  auto Run(Duration length) -> Result;

 private:
  static constexpr int kNodes = 6;

  struct StoreCall {
    GrantorTerm::Step step = GrantorTerm::Step::kNone;
    MonotonicTime sent_time;     ///< By the clock of the caller.
    MonotonicTime arrival_time;  ///< This and the next member are in simulated real time.
    MonotonicTime answer_time;
    bool executed = false;
    bool succeeded = false;
    bool answer_lost = false;
  };
  struct Node {
    Node(RankedVm vm, double rate);
    RankedVm identity;
    double clock_rate;
    ShareHolder holder;
    GrantorTerm term;
    ShareGrantor grantor;
    CapConfig config;
    MonotonicTime paused_until;
    MonotonicTime presumed_dead_from;   ///< Start of the time in which others consider it dead.
    MonotonicTime presumed_dead_until;  ///< End of that time.
    bool replaced = false;              ///< A new node was started to replace this one.
    std::optional<StoreCall> call;
    double last_grant = 0;
    double demand = 0;
  };
  struct Message {
    MonotonicTime delivery_time;
    Node* to = nullptr;
    Node* from = nullptr;
    std::variant<ShareRequest, ShareGrant> body;
  };

  auto RandomChance(double probability) -> bool;
  auto RandomDelay(int low, int high) -> Duration;
  auto LocalTime(const Node& node) const -> MonotonicTime;
  auto Running(const Node& node) const -> bool { return now_ >= node.paused_until; }
  auto AddNode() -> void;
  auto InjectFault() -> void;
  auto ChangeCap() -> void;
  auto Step(Node& node) -> void;
  auto ApplyDueConfigs(Node& node) -> void;
  auto UpdateZoneView(Node& node) -> void;
  auto StepStore(Node& node) -> void;
  auto ExecuteStoreCall(Node& node, StoreCall& call) -> void;
  auto Send(Node& to, Node& from, const std::variant<ShareRequest, ShareGrant>& body) -> void;
  auto DeliverDue() -> void;
  auto Deliver(const Message& message) -> void;
  auto Usable(const Node& node) const -> double;
  auto Check() -> void;

  Options options_;
  Random random_;
  Result result_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t next_instance_ = 1;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::deque<std::pair<MonotonicTime, CapConfig>> versions_;
  std::vector<Message> messages_;
  std::deque<std::pair<MonotonicTime, double>> caps_in_force_;
  Node* role_holder_ = nullptr;
  MonotonicTime role_lease_end_;
  MonotonicTime outage_until_;
  MonotonicTime next_cap_change_;
  double usable_fraction_sum_ = 0;
  int checks_ = 0;
};

}  // namespace heatherspan
