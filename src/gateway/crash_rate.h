#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/crash_report.h"

namespace heatherspan {

/// The crashes that this node has seen lately, by service: how likely a request meets a crash that
/// it has not caused.
class CrashRate {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(20);
  /// Crashes that come together, half of this time before or after, are a higher rate than their
  /// average.
  static constexpr Duration kBurstWindow = std::chrono::seconds(1);

  /// So many targets that crash or refuse connections within the burst window have failed together.
  /// Fewer may be those that harmful requests end.
  static constexpr int kMinTogether = 16;

  /// A request was lost at the target. Returns whether this was not known.
  auto OnCrash(const ServiceName& service, const TargetCrash& crash, MonotonicTime at) -> bool {
    return Add(service, {crash, at, true});
  }
  /// The target refuses connections, which counts in a burst only. Returns whether this was not
  /// known.
  auto OnDown(const ServiceName& service, const TargetCrash& crash, MonotonicTime now) -> bool {
    return Add(service, {crash, now, false});
  }
  /// Whether many of the service's targets have failed together about that time.
  auto IsBurst(const ServiceName& service, MonotonicTime at) const -> bool;
  /// Returns the probability that a request which was at one of the service's targets for the given
  /// time met a crash by chance. The crashes that the request may have caused are left out.
  auto Chance(const ServiceName& service, std::size_t target_count, Duration at_target,
              const std::vector<TargetCrash>& own, MonotonicTime crashed_at) const -> double;

 private:
  struct Entry {
    TargetCrash crash;
    MonotonicTime at;
    bool has_lost = false;  ///< A request, as far as is known.
  };
  static constexpr std::size_t kMaxCrashes = 256;

  auto Add(const ServiceName& service, Entry entry) -> bool;

  absl::flat_hash_map<ServiceName, std::deque<Entry>> crashes_;
};

}  // namespace heatherspan
