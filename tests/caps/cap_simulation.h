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
#include "caps/cap_terms.h"
#include "caps/grantor_term.h"
#include "caps/share_grantor.h"
#include "caps/share_holder.h"

namespace heatherspan {

/// A region's entry VMs, their network and the store's role lease under a seeded schedule of
/// failures. After each step it compares the sum of the usable shares with the highest cap in force
/// now or within one lease lifetime before.
class CapSimulation {
 public:
  struct Options {
    std::uint64_t seed = 1;
    bool failures = true;           ///< Loss, delay, duplicates, pauses, replacements, outages.
    bool cap_changes = true;        ///< A new version about every 25 s, in force within 9 s.
    bool ignore_lease_end = false;  ///< Holders use the last grant for ever.
  };
  struct Result {
    std::optional<std::string> violation;  ///< The first one.
    double mean_use = 0;                   ///< Mean of sum over cap.
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
    MonotonicTime sent;     ///< On the caller's clock.
    MonotonicTime arrives;  ///< From here on in real time.
    MonotonicTime answers;
    bool executed = false;
    bool succeeded = false;
    bool lost = false;
  };
  struct Node {
    Node(RankedVm vm, double clock_rate);
    RankedVm id;
    double rate;
    ShareHolder holder;
    GrantorTerm term;
    ShareGrantor grantor;
    CapTerms terms;
    MonotonicTime paused_until;
    MonotonicTime hidden_from;   ///< Others take it for dead from here
    MonotonicTime hidden_until;  ///< until here.
    bool replaced = false;       ///< A new node was started in its place.
    std::optional<StoreCall> call;
    double last_grant = 0;
    double demand = 0;
  };
  struct Message {
    MonotonicTime deliver;
    Node* to = nullptr;
    Node* from = nullptr;
    std::variant<ShareRequest, ShareGrant> body;
  };

  auto Chance(double probability) -> bool;
  auto Milliseconds(int low, int high) -> Duration;
  auto Local(const Node& node) const -> MonotonicTime;
  auto Running(const Node& node) const -> bool { return now_ >= node.paused_until; }
  auto AddNode() -> void;
  auto Fail() -> void;
  auto ChangeCap() -> void;
  auto Step(Node& node) -> void;
  auto ApplyDueTerms(Node& node) -> void;
  auto ViewZone(Node& node) -> void;
  auto StepStore(Node& node) -> void;
  auto Execute(Node& node, StoreCall& call) -> void;
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
  std::deque<std::pair<MonotonicTime, CapTerms>> versions_;
  std::vector<Message> messages_;
  std::deque<std::pair<MonotonicTime, double>> caps_in_force_;
  Node* role_holder_ = nullptr;
  MonotonicTime role_ends_;
  MonotonicTime outage_until_;
  MonotonicTime next_change_;
  double use_sum_ = 0;
  int checks_ = 0;
};

}  // namespace heatherspan
