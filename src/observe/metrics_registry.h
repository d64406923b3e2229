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

/// Counters, gauges and summaries of one process. Thread-safe; its lock is the last in the lock
/// order.
class MetricsRegistry {
 public:
  using Labels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

  MetricsRegistry() = default;
  MetricsRegistry(const MetricsRegistry&) = delete;
  auto operator=(const MetricsRegistry&) -> MetricsRegistry& = delete;

  auto Increment(Metric metric, Labels labels, double by = 1) -> void;
  /// Sets a counter that another object keeps, or a gauge.
  auto Set(Metric metric, Labels labels, double value) -> void;
  auto Observe(Metric metric, Labels labels, Duration value) -> void;

  auto Value(Metric metric, Labels labels) const -> double;
  /// All metrics in the text exposition format.
  auto Exposition() const -> std::string;

 private:
  using Key = std::pair<Metric, std::string>;

  /// Quantiles for a reader of one process, buckets for those who add up several.
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
