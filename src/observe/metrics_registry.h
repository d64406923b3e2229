#pragma once

#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "observe/latency_histogram.h"
#include "observe/latency_summary.h"
#include "observe/metric.h"

namespace heatherspan {

/// Counters, gauges and latencies of one process. Thread-safe. The lock of the registry is the last
/// in the lock order.
class MetricsRegistry {
 public:
  using Labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

  MetricsRegistry() = default;
  MetricsRegistry(const MetricsRegistry&) = delete;
  auto operator=(const MetricsRegistry&) -> MetricsRegistry& = delete;

  auto Increment(Metric metric, Labels labels, double by = 1) -> void;
  /// Sets a gauge, or a counter whose value another object maintains.
  auto Set(Metric metric, Labels labels, double value) -> void;
  auto Observe(Metric metric, Labels labels, Duration value) -> void;

  auto Value(Metric metric, Labels labels) const -> double;
  /// All metrics in the Prometheus text exposition format.
  auto Exposition() const -> std::string;

 private:
  using Key = std::pair<Metric, std::string>;

  /// Quantiles describe one process. Histogram buckets can be summed over several processes.
  struct Latencies {
    LatencySummary summary;
    LatencyHistogram histogram;
  };

  auto AppendHistograms(const MetricDescription& description, std::string& text) const -> void;

  mutable std::mutex mutex_;
  std::map<Key, double> values_;
  std::map<Key, Latencies> latencies_;
};

}  // namespace heatherspan
