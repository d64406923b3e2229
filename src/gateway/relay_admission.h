#pragma once

#include <algorithm>
#include <utility>

#include "base/ids.h"
#include "gateway/common_regions.h"
#include "gateway/relay_terms.h"
#include "gateway/route.h"

namespace heatherspan {

/// Reconciles two entry VMs that have different configurations, one of which passes a request on to
/// the other. Load pattern: while a configuration spreads, the VMs have either version for a second
/// or more, and a VM without links to targets passes its requests on to many of them.
class RelayAdmission {
 public:
  enum class Outcome {
    kAllowed,
    kOlderConfiguration,  ///< This VM's is older than what the other one goes by.
    kNoRegionLeft,        ///< The two VMs know no common home.
  };

  /// Restricts the route to the homes that both VMs know. `config`: in force at this VM.
  static auto Admit(const RelayTerms& terms, ConfigVersion config, Route& route) -> Outcome {
    if (config < terms.config) return Outcome::kOlderConfiguration;
    auto regions = CommonRegions(route.allowed_regions, terms.homes);
    if (!regions.has_value()) return Outcome::kNoRegionLeft;
    route.allowed_regions = *std::move(regions);
    return Outcome::kAllowed;
  }

  /// Another VM has run a request by the configuration.
  auto OnRun(ConfigVersion config) -> void { latest_run_ = std::max(latest_run_, config); }
  /// The store is back from an older copy, whose configuration may be an older one, too.
  auto OnStoreRestored() -> void { latest_run_ = ConfigVersion(); }
  /// Returns the least configuration for a request that was admitted here by the given one. Callers
  /// of this VM don't go back behind what their earlier requests have met.
  auto LeastConfig(ConfigVersion admitted_by) const -> ConfigVersion {
    return std::max(admitted_by, latest_run_);
  }

 private:
  ConfigVersion latest_run_;
};

}  // namespace heatherspan
