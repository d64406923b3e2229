#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "nlohmann/json_fwd.hpp"

namespace heatherspan {

/// A request that a target started to run.
struct Execution {
  enum class State { kRunning, kDone, kCancelled };

  std::string target;
  std::string request_id;
  std::string ticket;
  std::string method;
  std::string path;
  std::string digest;
  MonotonicTime started;
  State state = State::kRunning;
};

/// The record of every request that the targets of a process started.
class ExecutionLog {
 public:
  /// More than a demo of three minutes at 1,000 requests/s needs; later ones are only counted.
  static constexpr std::size_t kMaxExecutions = 200'000;

  auto Add(Execution execution) -> std::size_t;
  auto SetState(std::size_t index, Execution::State state) -> void;
  auto executions() const -> const std::vector<Execution>& { return executions_; }
  /// {"unrecorded": N, "executions": [{"target", "request_id", "ticket", "method", "path",
  /// "digest", "started_ms", "state"}]}; started_ms is on the monotonic clock, which the processes
  /// of one machine share.
  auto ToJson() const -> nlohmann::json;

 private:
  std::vector<Execution> executions_;
  std::uint64_t unrecorded_ = 0;
};

}  // namespace heatherspan
