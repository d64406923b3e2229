#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "membership/membership.h"

namespace heatherspan {

/// Nodes that exchange membership datagrams over a simulated network with delay, loss and
/// partitions.
class MembershipNetwork {
 public:
  struct Node {
    MemberUpdate self;
    std::unique_ptr<Membership> membership;
    bool running = true;
    MonotonicTime paused_until;
    MonotonicTime next_tick;
    double loss = 0;         ///< Probability of loss of each datagram from or to the node.
    std::int64_t bytes = 0;  ///< Bytes sent and received.
  };

  MembershipNetwork(std::size_t nodes, std::uint64_t seed);

  /// Whether the network delivers datagrams from one node to another.
  std::function<bool(std::size_t, std::size_t)> link = [](std::size_t, std::size_t) {
    return true;
  };
  double loss = 0;

  auto Run(Duration length) -> void;
  /// Runs until the condition holds, at most for `limit`; returns the elapsed time.
  auto RunUntil(const std::function<bool()>& condition, Duration limit) -> Duration;
  /// Starts a new instance at the address of a node.
  auto Restart(std::size_t index) -> void;
  auto Pause(std::size_t index, Duration length) -> void;
  auto Send(std::size_t from, std::vector<OutgoingDatagram> datagrams) -> void;

  auto node(std::size_t index) -> Node& { return nodes_[index]; }
  auto size() const -> std::size_t { return nodes_.size(); }
  auto now() const -> MonotonicTime { return now_; }
  auto random() -> Random& { return random_; }
  auto largest_datagram() const -> std::size_t { return largest_datagram_; }

  /// The state of the subject's current instance as observed by the observer; dead if the observer
  /// doesn't list the instance.
  auto StateAt(std::size_t observer, std::size_t subject) const -> MemberState;
  /// The number of pairs of running nodes that pass the filter and of which the first doesn't list
  /// the second.
  auto MissingPairs(const std::function<bool(std::size_t, std::size_t)>& filter) const -> int;
  /// Whether every running node lists exactly the running nodes, all as alive.
  auto IsConverged() const -> bool;
  /// Whether the test holds for the state of the subject as observed by every other running node.
  auto AllSee(std::size_t subject, const std::function<bool(MemberState)>& test) const -> bool;

 private:
  struct InFlightDatagram {
    std::size_t from = 0;
    std::size_t to = 0;
    InstanceId sender;
    Datagram datagram;
  };

  auto Start(std::size_t index) -> void;
  auto Step() -> void;
  auto Receive(std::size_t from, std::size_t to, InstanceId sender, const Datagram& datagram)
      -> void;
  auto IsDropped(double probability) -> bool;

  Random random_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::vector<Node> nodes_;
  std::map<Endpoint, std::size_t> by_address_;
  std::multimap<MonotonicTime, InFlightDatagram> in_flight_;
  std::size_t largest_datagram_ = 0;
};

}  // namespace heatherspan
