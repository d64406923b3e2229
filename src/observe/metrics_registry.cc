#include "observe/metrics_registry.h"

#include <iterator>

#include "fmt/format.h"

namespace heatherspan {
namespace {

auto AppendEscaped(std::string& text, std::string_view value) -> void {
  for (const char c : value) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') text += '\\';
    text += c;
  }
}

auto LabelText(MetricsRegistry::Labels labels) -> std::string {
  std::string text;
  for (const auto& [name, value] : labels) {
    if (!text.empty()) text += ',';
    text += name;
    text += "=\"";
    AppendEscaped(text, value);
    text += '"';
  }
  return text;
}

auto AppendSample(std::string& text, std::string_view name, std::string_view labels, double value)
    -> void {
  text += name;
  if (!labels.empty()) fmt::format_to(std::back_inserter(text), "{{{}}}", labels);
  fmt::format_to(std::back_inserter(text), " {}\n", value);
}

auto AppendSummary(std::string& text, std::string_view name, const std::string& labels,
                   const LatencySummary& summary) -> void {
  const std::string_view separator = labels.empty() ? "" : ",";
  for (std::size_t i = 0; i < LatencySummary::kQuantiles.size(); ++i) {
    const auto quantile =
        fmt::format("{}{}quantile=\"{}\"", labels, separator, LatencySummary::kQuantiles[i]);
    AppendSample(text, name, quantile, summary.quantile_seconds(i));
  }
  AppendSample(text, fmt::format("{}_sum", name), labels, summary.sum_seconds());
  AppendSample(text, fmt::format("{}_count", name), labels, static_cast<double>(summary.count()));
}

auto AppendHistogram(std::string& text, std::string_view name, const std::string& labels,
                     const LatencyHistogram& histogram, const LatencySummary& totals) -> void {
  const std::string_view separator = labels.empty() ? "" : ",";
  const auto bucket = fmt::format("{}_bucket", name);
  const auto count = static_cast<double>(totals.count());
  for (std::size_t i = 0; i < LatencyHistogram::kBounds.size(); ++i) {
    AppendSample(text, bucket,
                 fmt::format("{}{}le=\"{}\"", labels, separator, LatencyHistogram::kBounds[i]),
                 static_cast<double>(histogram.CountUpTo(i)));
  }
  AppendSample(text, bucket, fmt::format("{}{}le=\"+Inf\"", labels, separator), count);
  AppendSample(text, fmt::format("{}_sum", name), labels, totals.sum_seconds());
  AppendSample(text, fmt::format("{}_count", name), labels, count);
}

auto KindText(MetricKind kind) -> std::string_view {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kSummary:
      return "summary";
  }
  return "untyped";
}

}  // namespace

auto MetricsRegistry::Increment(Metric metric, Labels labels, double by) -> void {
  Key key(metric, LabelText(labels));
  const std::lock_guard lock(mutex_);
  values_[std::move(key)] += by;
}

auto MetricsRegistry::Set(Metric metric, Labels labels, double value) -> void {
  Key key(metric, LabelText(labels));
  const std::lock_guard lock(mutex_);
  values_[std::move(key)] = value;
}

auto MetricsRegistry::Observe(Metric metric, Labels labels, Duration value) -> void {
  Key key(metric, LabelText(labels));
  const std::lock_guard lock(mutex_);
  auto& latencies = latencies_[std::move(key)];
  latencies.summary.Add(value);
  latencies.histogram.Add(value);
}

auto MetricsRegistry::Value(Metric metric, Labels labels) const -> double {
  const Key key(metric, LabelText(labels));
  const std::lock_guard lock(mutex_);
  const auto found = values_.find(key);
  return found == values_.end() ? 0 : found->second;
}

auto MetricsRegistry::Exposition() const -> std::string {
  std::string text;
  const std::lock_guard lock(mutex_);
  for (const auto& description : kMetricDescriptions) {
    fmt::format_to(std::back_inserter(text), "# HELP {0} {1}\n# TYPE {0} {2}\n", description.name,
                   description.help, KindText(description.kind));
    const Key first(description.metric, "");
    for (auto it = values_.lower_bound(first);
         it != values_.end() && it->first.first == description.metric; ++it) {
      AppendSample(text, description.name, it->first.second, it->second);
    }
    if (description.kind != MetricKind::kSummary) continue;
    for (auto it = latencies_.lower_bound(first);
         it != latencies_.end() && it->first.first == description.metric; ++it) {
      AppendSummary(text, description.name, it->first.second, it->second.summary);
    }
    AppendHistograms(description, text);
  }
  return text;
}

auto MetricsRegistry::AppendHistograms(const MetricDescription& description,
                                       std::string& text) const -> void {
  // A metric name has only one type, so the histogram needs a name other than the summary's:
  // the name of the summary ends in "_seconds", that of the histogram in "_duration_seconds".
  constexpr std::string_view kUnitSuffix = "_seconds";
  const auto base = description.name.substr(0, description.name.size() - kUnitSuffix.size());
  const auto name = fmt::format("{}_duration{}", base, kUnitSuffix);
  fmt::format_to(std::back_inserter(text), "# HELP {0} {1}\n# TYPE {0} histogram\n", name,
                 description.help);
  for (auto it = latencies_.lower_bound(Key(description.metric, ""));
       it != latencies_.end() && it->first.first == description.metric; ++it) {
    AppendHistogram(text, name, it->first.second, it->second.histogram, it->second.summary);
  }
}

}  // namespace heatherspan
