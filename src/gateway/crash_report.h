#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/request_digest.h"

namespace heatherspan {

/// The end of a target's process. An instance may start again under its name.
struct TargetCrash {
  TargetName target;
  std::int64_t start_id = 0;
  Endpoint endpoint;

  friend auto operator==(const TargetCrash&, const TargetCrash&) -> bool = default;
};

/// What an entry VM has seen of a request that was at a target when the target crashed, or that has
/// been answered since.
struct CrashReport {
  RequestDigest request;
  std::optional<TargetCrash> crash;  ///< Empty if the request has been answered.
  Duration age{};                    ///< Since the crash or the answer.
  Duration at_target{};              ///< How long the target had the request.
  double chance = 1;  ///< The probability that a request at that target meets a crash by chance.
  NodeName observer;

  friend auto operator==(const CrashReport&, const CrashReport&) -> bool = default;
};

/// The reports as text, separated by ";". Each has blanks between its words: digest, target, start,
/// endpoint, age and time at the target in milliseconds, chance, observer; or digest, "-", age,
/// observer.
auto WriteCrashReports(const std::vector<CrashReport>& reports) -> std::string;
/// Leaves out what is malformed.
auto ReadCrashReports(std::string_view text) -> std::vector<CrashReport>;

}  // namespace heatherspan
