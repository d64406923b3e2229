#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "net/memory_account.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Publishes what the process holds for others, and reports when it begins and ends to refuse what
/// would pass the bound.
class MemoryMonitor {
 public:
  /// Without a refusal for so long, the process has ceased to refuse.
  static constexpr Duration kCalmTime = std::chrono::seconds(5);

  MemoryMonitor(const MemoryAccount& account, EventLog& log, MetricsRegistry& metrics)
      : account_(account), log_(log), metrics_(metrics) {}

  auto OnTick(MonotonicTime now) -> void {
    constexpr std::array<std::pair<MemoryUse, std::string_view>, 3> kUses = {{
        {MemoryUse::kConnections, "connections"},
        {MemoryUse::kRequests, "requests"},
        {MemoryUse::kAnswers, "answers"},
    }};
    for (const auto& [use, text] : kUses) {
      metrics_.Set(Metric::kMemoryBytes, {{"use", text}}, static_cast<double>(account_.bytes(use)));
    }
    metrics_.Set(Metric::kMemoryBound, {}, static_cast<double>(account_.max_bytes()));
    const auto refusals = account_.refusals();
    if (refusals != refusals_) {
      last_refusal_ = now;
      metrics_.Set(Metric::kRefusals, {{"reason", "memory"}, {"verdict", "not-run"}},
                   static_cast<double>(refusals));
    }
    const bool refusing = refusals != refusals_ || (refusing_ && now - last_refusal_ < kCalmTime);
    if (refusing != refusing_) {
      if (refusing) refusals_before_ = refusals_;
      log_.Write(LogLevel::kWarning, refusing ? "memory-refusing" : "memory-refusing-over",
                 {{"held_bytes", account_.total()},
                  {"bound_bytes", account_.max_bytes()},
                  {"refused", refusals - refusals_before_}});
    }
    refusals_ = refusals;
    refusing_ = refusing;
  }

 private:
  const MemoryAccount& account_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  std::size_t refusals_ = 0;
  std::size_t refusals_before_ = 0;  ///< When the process began to refuse.
  bool refusing_ = false;
  MonotonicTime last_refusal_{};
};

}  // namespace heatherspan
