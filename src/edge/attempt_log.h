#pragma once

#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/forwarded_request.h"
#include "gateway/request_digest.h"

namespace heatherspan {

class EventLog;
class MetricsRegistry;
struct HttpResult;

/// Writes lines about attempts at targets and at other entry VMs, and counts what the verdicts of
/// attempts rest on.
class AttemptLog {
 public:
  /// What is known of an attempt at a target beside its result.
  struct Attempt {
    TargetName target;
    AttemptOutcome outcome = AttemptOutcome::kLost;
    RequestDigest digest;
    Duration at_target{};
    bool is_signed = false;   ///< The target has signed the answer.
    bool is_retried = false;  ///< The request is sent on.
  };

  /// What is known of an attempt at another entry VM beside its result.
  struct RelayedAttempt {
    std::string_view vm;
    AttemptOutcome outcome = AttemptOutcome::kLost;
    std::string_view received;  ///< The verdict as the other VM has written it.
    bool is_signed = false;
    bool is_retried = false;
  };

  AttemptLog(EventLog& log, MetricsRegistry& metrics) : log_(log), metrics_(metrics) {}

  /// Counts every attempt that has ended, whether or not it has a line.
  auto Count(const ForwardedRequest& request, AttemptOutcome outcome, const HttpResult& result,
             bool relayed) -> void;
  /// Whether the end of an attempt is written. Successful attempts are, if another run of a request
  /// that must run once is conceivable.
  static auto IsWritten(const ForwardedRequest& request, AttemptOutcome outcome,
                        const HttpResult& result) -> bool;
  auto Write(const ForwardedRequest& request, const Attempt& attempt, const HttpResult& result)
      -> void;
  auto Write(const ForwardedRequest& request, const RelayedAttempt& attempt,
             const HttpResult& result) -> void;

 private:
  EventLog& log_;
  MetricsRegistry& metrics_;
};

}  // namespace heatherspan
