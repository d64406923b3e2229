#pragma once

#include <algorithm>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "edge/access_control.h"
#include "edge/platform_ports.h"
#include "gateway/gateway_core.h"
#include "net/http_request.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Counts attempts of requests that may run in some regions only, by the configuration in force at
/// the attempt, whatever the request was placed by.
template <MessageFormat Format>
class RestrictedAttempts {
 public:
  RestrictedAttempts(const GatewayCore& core, const AccessControl& access, MetricsRegistry& metrics)
      : core_(core), access_(access), metrics_(metrics) {}

  auto OnSent(const ForwardedRequest& forwarded, const HttpRequest& request,
              const RegionName& region, MonotonicTime now) -> void {
    const auto& attributes = forwarded.attributes();
    if (core_.policy()->version == attributes.config) {
      Count(attributes.route.allowed_regions, region);
      return;
    }
    const auto fields = Format::ReadCaller(request);
    const auto* route = core_.routes().Find(fields.host, request.target);
    if (route == nullptr) route = &attributes.route;
    const auto ruling = access_.Rule(*route, fields.access_key, now);
    if (ruling.outcome == TeamAccess::Outcome::kNoRegionLeft) {
      Count(false);
    } else {
      Count(ruling.route.allowed_regions, region);
    }
  }

 private:
  auto Count(const std::vector<RegionName>& allowed, const RegionName& region) -> void {
    if (allowed.empty()) return;
    Count(std::find(allowed.begin(), allowed.end(), region) != allowed.end());
  }

  auto Count(bool is_home) -> void {
    metrics_.Increment(Metric::kRestrictedAttempts, {{"home", is_home ? "yes" : "no"}});
  }

  const GatewayCore& core_;
  const AccessControl& access_;
  MetricsRegistry& metrics_;
};

}  // namespace heatherspan
