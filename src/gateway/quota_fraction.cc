#include "gateway/quota_fraction.h"

#include <algorithm>

namespace heatherspan {
namespace {

constexpr double kActivePart = 0.97;
constexpr double kLapsedPart = 0.03;
/// A standing announcement may have been renewed so long ago.
constexpr Duration kLeaseLifetime = std::chrono::seconds(3);

}  // namespace

auto QuotaFraction::OnAnnouncementRenewed(MonotonicTime at) -> void {
  renewed_at_ = std::max(at, renewed_at_.value_or(at));
}

auto QuotaFraction::OnFirstState(const std::vector<EntryVm>& announced, MonotonicTime at) -> void {
  const bool is_announced = std::any_of(announced.begin(), announced.end(),
                                        [&](const EntryVm& vm) { return vm.name == self_; });
  if (!is_announced) return;
  OnAnnouncementRenewed(at - kLeaseLifetime);
  announced_since_ = at - change_bound_ - kSpreadMargin;
}

auto QuotaFraction::Update(const std::vector<EntryVm>& announced, MonotonicTime now) -> void {
  bool is_announced = false;
  for (const auto& vm : announced) {
    seen_at_[vm.name] = now;
    is_announced = is_announced || vm.name == self_;
  }
  absl::erase_if(seen_at_, [&](const auto& seen) {
    return now - seen.second > kRetention && seen.first != self_;
  });
  const bool is_renewed = renewed_at_.has_value() && now - *renewed_at_ <= kMaxRenewalAge;
  if (!is_renewed) {
    announced_since_.reset();
  } else if (is_announced && !announced_since_.has_value()) {
    announced_since_ = now;
  }
  const bool is_known =
      announced_since_.has_value() && now - *announced_since_ >= change_bound_ + kSpreadMargin;
  if (is_known) {
    kind_ = Kind::kActive;
  } else if (kind_ == Kind::kActive) {
    kind_ = Kind::kLapsed;
  }
}

auto QuotaFraction::value() const -> double {
  const auto count = static_cast<double>(std::max<std::size_t>(1, seen_at_.size()));
  switch (kind_) {
    case Kind::kLearning:
      return 0;
    case Kind::kActive:
      return kActivePart / count;
    case Kind::kLapsed:
      return kLapsedPart / count;
  }
  return 0;
}

auto QuotaFraction::KindText(Kind kind) -> std::string_view {
  switch (kind) {
    case Kind::kLearning:
      return "learning";
    case Kind::kActive:
      return "active";
    case Kind::kLapsed:
      return "lapsed";
  }
  return "unknown";
}

}  // namespace heatherspan
