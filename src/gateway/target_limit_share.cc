#include "gateway/target_limit_share.h"

#include <algorithm>
#include <cmath>

#include "gateway/fleet_target.h"
#include "gateway/vm_standing.h"

namespace heatherspan {
namespace {

/// Each sender may have saved one request, and all may send it at once.
constexpr double kSendersPerLimit = 2;
constexpr double kMinSenders = 3;
/// Fractions of a limit.
constexpr double kSendersFraction = 0.7;
/// The other VMs send now and then, so that they notice the end of the limit.
constexpr double kOthersFraction = 0.1;
constexpr double kLapsedFraction = 0.2;
/// A target that takes nothing is asked now and then whether that has ended.
constexpr double kMinLimit = 0.2;

}  // namespace

auto TargetLimitShare(const VmStanding& standing, const FleetTarget& target,
                      RequestsPerSecond limit) -> RequestsPerSecond {
  if (standing.kind() == VmStanding::Kind::kLearning) return RequestsPerSecond(0);
  const double usable_limit = std::max(limit.value(), kMinLimit);
  const auto& vms = standing.vms();
  const auto vm_count = static_cast<double>(vms.size());
  const double senders =
      std::min(vm_count, std::floor(kSendersPerLimit * usable_limit) + kMinSenders);
  const double others = vm_count - senders;
  const bool is_sender = IsTargetSender(vms, standing.self(), target.entry().name,
                                        target.entry().zone, static_cast<int>(senders));
  double share = 0;
  if (is_sender) {
    share = (others > 0 ? kSendersFraction : kSendersFraction + kOthersFraction) / senders;
  } else {
    share = kOthersFraction / others;
  }
  if (standing.kind() == VmStanding::Kind::kLapsed) {
    share = std::min(share, kLapsedFraction / static_cast<double>(standing.largest_count()));
  }
  return RequestsPerSecond(share * usable_limit);
}

}  // namespace heatherspan
