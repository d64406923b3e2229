#include "observe/metrics_registry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "base/reason.h"
#include "fmt/format.h"

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

// Guards against a quote in a label value from a caller that breaks the format of the whole page.
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

// Guards against latencies that can't be summed over several processes: quantiles can't be.
TEST(MetricsRegistry, CountsLatenciesInBuckets) {
  MetricsRegistry metrics;
  for (const int milliseconds : {5, 6, 90, 100, 2000, 60'000}) {
    metrics.Observe(Metric::kRequestSeconds, {{"service", "ledger"}},
                    std::chrono::milliseconds(milliseconds));
  }
  const auto text = metrics.Exposition();
  const std::string name = "heatherspan_request_duration_seconds";
  EXPECT_THAT(text, HasSubstr("# TYPE " + name + " histogram\n"));
  for (const auto& [bound, count] :
       std::initializer_list<std::pair<std::string, int>>{{"0.005", 1},
                                                          {"0.01", 2},
                                                          {"0.05", 2},
                                                          {"0.1", 4},
                                                          {"1", 4},
                                                          {"2.5", 5},
                                                          {"10", 5},
                                                          {"+Inf", 6}}) {
    EXPECT_THAT(text, HasSubstr(fmt::format("{}_bucket{{service=\"ledger\",le=\"{}\"}} {}\n", name,
                                            bound, count)));
  }
  EXPECT_THAT(text, HasSubstr(name + "_count{service=\"ledger\"} 6\n"));
}

}  // namespace
}  // namespace heatherspan
