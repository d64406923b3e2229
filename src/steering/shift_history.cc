#include "steering/shift_history.h"

#include <algorithm>
#include <numeric>

namespace heatherspan {
namespace {

constexpr std::size_t kBinsPerEighth = ShiftHistory::kBins / 8;
/// The minimum number of requests for a meaningful fraction.
constexpr std::uint32_t kMinRequests = 8;

auto BinLength(Duration interval) -> Duration {
  return std::max(Duration(1), interval / static_cast<Duration::rep>(ShiftHistory::kBins));
}

}  // namespace

ShiftHistory::ShiftHistory(std::size_t regions, std::size_t client_region, Duration interval,
                           MonotonicTime now)
    : client_region_(client_region),
      bin_length_(BinLength(interval)),
      bin_start_(now),
      bins_(2 * kBins) {
  GrowRegions(regions);
}

auto ShiftHistory::Advance(MonotonicTime now) -> void {
  if (now < bin_start_) return;
  const auto steps = (now - bin_start_) / bin_length_;
  bin_start_ += bin_length_ * steps;
  // After two intervals, all counts have expired.
  const auto needed = std::min(steps, static_cast<Duration::rep>(bins_.size()));
  for (Duration::rep i = 0; i < needed; ++i) Step();
}

auto ShiftHistory::AddRequest() -> void {
  ++Bin(0).requests;
  ++current_.requests;
}

auto ShiftHistory::AddSent(std::size_t region) -> void {
  ++Bin(0).sent[region];
  ++current_.sent[region];
}

auto ShiftHistory::SetInterval(Duration interval) -> void { bin_length_ = BinLength(interval); }

auto ShiftHistory::GrowRegions(std::size_t regions) -> void {
  for (auto& bin : bins_) bin.sent.resize(regions);
  current_.sent.resize(regions);
  previous_.sent.resize(regions);
  boundary_.sent.resize(regions);
}

auto ShiftHistory::PreviousFraction(std::size_t region) const -> double {
  return FractionOf(previous_, region);
}

auto ShiftHistory::FractionOneIntervalAgo(std::size_t region) const -> double {
  return FractionOf(boundary_.requests < kMinRequests ? previous_ : boundary_, region);
}

auto ShiftHistory::FractionOf(const Counts& counts, std::size_t region) const -> double {
  if (counts.requests == 0) return region == client_region_ ? 1 : 0;
  double sent = counts.sent[region];
  if (region == client_region_) {
    const double elsewhere = std::accumulate(counts.sent.begin(), counts.sent.end(), 0.0) - sent;
    sent = counts.requests - elsewhere;
  }
  return std::clamp(sent / counts.requests, 0.0, 1.0);
}

auto ShiftHistory::Step() -> void {
  head_ = (head_ + 1) % bins_.size();
  Subtract(previous_, Bin(0));  // The new bin replaces the oldest one.
  Clear(Bin(0));
  Subtract(current_, Bin(kBins));
  Add(previous_, Bin(kBins));
  Subtract(boundary_, Bin(kBins + kBinsPerEighth));
  Add(boundary_, Bin(kBins - kBinsPerEighth));
}

auto ShiftHistory::Bin(std::size_t back) -> Counts& {
  return bins_[(head_ + bins_.size() - back) % bins_.size()];
}

auto ShiftHistory::Add(Counts& to, const Counts& counts) -> void {
  to.requests += counts.requests;
  for (std::size_t i = 0; i < to.sent.size(); ++i) to.sent[i] += counts.sent[i];
}

auto ShiftHistory::Subtract(Counts& from, const Counts& counts) -> void {
  from.requests -= counts.requests;
  for (std::size_t i = 0; i < from.sent.size(); ++i) from.sent[i] -= counts.sent[i];
}

auto ShiftHistory::Clear(Counts& counts) -> void {
  counts.requests = 0;
  std::fill(counts.sent.begin(), counts.sent.end(), 0);
}

}  // namespace heatherspan
