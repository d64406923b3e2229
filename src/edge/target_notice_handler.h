#pragma once

#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/gateway_core.h"
#include "gateway/target_notices.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Takes over what targets say of themselves in their answers, and logs each change of belief.
class TargetNoticeHandler {
 public:
  TargetNoticeHandler(GatewayCore& core, EventLog& log, MetricsRegistry& metrics)
      : core_(core), log_(log), metrics_(metrics) {}

  /// `source`: the kind of answer.
  auto OnNotices(const TargetName& target, const TargetNotices& notices, std::string_view source)
      -> void {
    const auto now = SystemClock().Now();
    if (notices.leaving && core_.fleet().OnLeaving(target, now)) {
      metrics_.Increment(Metric::kTargetNotices, {{"notice", "leaving"}, {"source", source}});
      log_.Write(LogLevel::kInfo, "target-leaving",
                 {{"target", target.value()}, {"source", source}, {"age_ms", 0}});
    }
    if (notices.pause.has_value()) OnPause(target, *notices.pause, source, now);
    if (!notices.malformed.empty()) OnMalformed(target, notices);
  }

 private:
  auto OnPause(const TargetName& name, Duration pause, std::string_view source, MonotonicTime now)
      -> void {
    auto* target = core_.fleet().Find(name);
    if (target == nullptr) return;
    if (!target->pause().OnRequested(pause, core_.DrawSpread(), now)) return;
    metrics_.Increment(Metric::kTargetNotices, {{"notice", "pause"}, {"source", source}});
    log_.Write(LogLevel::kInfo, "target-paused",
               {{"target", name.value()},
                {"source", source},
                {"wait_ms", std::chrono::duration_cast<std::chrono::milliseconds>(pause).count()}});
  }

  auto OnMalformed(const TargetName& target, const TargetNotices& notices) -> void {
    metrics_.Increment(Metric::kRejectedInput, {{"listener", "target"}, {"cause", "notice"}});
    if (malformed_logged_) return;
    malformed_logged_ = true;
    log_.Write(LogLevel::kWarning, "target-notice-rejected",
               {{"target", target.value()}, {"notice", notices.malformed}});
  }

  GatewayCore& core_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  bool malformed_logged_ = false;  ///< A faulty target writes the same in each answer.
};

}  // namespace heatherspan
