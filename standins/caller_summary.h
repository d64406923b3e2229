#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "nlohmann/json_fwd.hpp"
#include "standins/operation.h"

namespace heatherspan {

/// Counts how operations ended, for each service.
class CallerSummary {
 public:
  auto Add(const Operation& operation, const OperationResult& result) -> void;

  auto wrong() const -> std::uint64_t;
  /// {"services": {NAME: {"operations", "answered", "refused", "unknown", "wrong", "repeated",
  /// "lost", "connect_failures", "refusals": {"REASON/VERDICT": N}, "ended": {"OUTCOME: DETAIL":
  /// N}, "latency_ms": {"p50", "p90", "p99", "max"}}}, "lost_at": {ADDRESS: N}}; latencies are of
  /// answered operations, all attempts included.
  auto ToJson() const -> nlohmann::json;

 private:
  struct Service {
    std::uint64_t operations = 0;
    std::map<Outcome, std::uint64_t> outcomes;
    std::uint64_t repeated = 0;
    std::uint64_t lost = 0;
    std::uint64_t connect_failures = 0;
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> ended;
    std::vector<double> latencies_ms;
  };
  static auto ServiceToJson(const Service& service) -> nlohmann::json;

  std::map<std::string, Service> services_;
  std::map<std::string, std::uint64_t> lost_at_;
};

/// One line of the record: an operation with its digest, tickets and outcome.
auto RecordLine(const Operation& operation, const OperationResult& result) -> std::string;

}  // namespace heatherspan
