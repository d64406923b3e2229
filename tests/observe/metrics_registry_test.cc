#include "observe/metrics_registry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "base/reason.h"

namespace heatherspan {
namespace {

using testing::HasSubstr;

TEST(MetricsRegistry, DescribesEveryMetricInOrder) {
  for (std::size_t i = 0; i < kMetricDescriptions.size(); ++i) {
    EXPECT_EQ(static_cast<std::size_t>(kMetricDescriptions[i].metric), i);
  }
}

TEST(MetricsRegistry, WritesTheTextExpositionFormat) {
  MetricsRegistry metrics;
  metrics.Increment(Metric::kRefusals, {{"reason", ReasonText(Reason::kRegionCap)}});
  metrics.Increment(Metric::kRefusals, {{"reason", ReasonText(Reason::kRegionCap)}});
  metrics.Set(Metric::kConfigVersion, {}, 7);
  const auto text = metrics.Exposition();
  EXPECT_THAT(text, HasSubstr("# TYPE heatherspan_refusals_total counter\n"
                              "heatherspan_refusals_total{reason=\"region-cap\"} 2\n"));
  EXPECT_THAT(text, HasSubstr("\nheatherspan_config_version 7\n"));
}

// Label values come from callers; a quote in one must not break the format for the rest.
TEST(MetricsRegistry, EscapesLabelValues) {
  MetricsRegistry metrics;
  metrics.Increment(Metric::kLookups, {{"result", "a\"b\\c\nd"}});
  EXPECT_THAT(metrics.Exposition(), HasSubstr("{result=\"a\\\"b\\\\c\\nd\"} 1"));
}

TEST(MetricsRegistry, EstimatesPercentiles) {
  MetricsRegistry metrics;
  for (int i = 1; i <= 1000; ++i) {
    metrics.Observe(Metric::kRequestSeconds, {{"service", "ledger"}}, std::chrono::milliseconds(i));
  }
  const auto text = metrics.Exposition();
  EXPECT_THAT(text, HasSubstr("heatherspan_request_seconds_count{service=\"ledger\"} 1000\n"));
  EXPECT_THAT(text,
              HasSubstr("heatherspan_request_seconds{service=\"ledger\",quantile=\"0.5\"} 0.5"));
}

}  // namespace
}  // namespace heatherspan
