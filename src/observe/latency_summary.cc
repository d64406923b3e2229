#include "observe/latency_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace heatherspan {
namespace {

namespace acc = boost::accumulators;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;
using Totals = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

}  // namespace

class LatencySummary::Impl {
 public:
  Totals totals;
  std::array<Quantile, kQuantiles.size()> quantiles = {
      Quantile(acc::quantile_probability = kQuantiles[0]),
      Quantile(acc::quantile_probability = kQuantiles[1]),
      Quantile(acc::quantile_probability = kQuantiles[2])};
};

LatencySummary::LatencySummary() : impl_(std::make_unique<Impl>()) {}
LatencySummary::~LatencySummary() = default;
LatencySummary::LatencySummary(LatencySummary&&) noexcept = default;
auto LatencySummary::operator=(LatencySummary&&) noexcept -> LatencySummary& = default;

auto LatencySummary::Add(Duration value) -> void {
  const double seconds = std::chrono::duration<double>(value).count();
  impl_->totals(seconds);
  for (auto& quantile : impl_->quantiles) quantile(seconds);
}

auto LatencySummary::count() const -> std::uint64_t { return acc::count(impl_->totals); }

auto LatencySummary::sum_seconds() const -> double { return acc::sum(impl_->totals); }

auto LatencySummary::quantile_seconds(std::size_t index) const -> double {
  return count() == 0 ? 0 : acc::p_square_quantile(impl_->quantiles[index]);
}

}  // namespace heatherspan
