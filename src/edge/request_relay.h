#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "edge/platform_ports.h"
#include "gateway/gateway_core.h"
#include "gateway/relay_admission.h"
#include "gateway/relay_peers.h"
#include "gateway/relay_terms.h"
#include "gateway/target_reach.h"
#include "net/http_client.h"
#include "net/http_request.h"
#include "net/http_response.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Passes requests on to another entry VM while this one reaches no target. The other VM admits and
/// places them as its own and never passes them on, so that there is one hop.
template <MessageFormat Format>
class RequestRelay {
 public:
  /// The verdict is that of the other VM as it has written it. `arrivals`: at targets, as far as
  /// the other VM states them.
  using OnAnswer = std::function<void(AttemptOutcome outcome, std::optional<int> arrivals,
                                      std::string_view verdict, HttpResult result)>;

  /// The VM seems to have lost its links to all targets.
  using OnStranded = std::function<void()>;

  RequestRelay(GatewayCore& core, HttpClient& client, EventLog& log, MetricsRegistry& metrics,
               OnStranded on_stranded)
      : core_(core),
        client_(client),
        log_(log),
        metrics_(metrics),
        on_stranded_(std::move(on_stranded)),
        random_(std::random_device()()) {}

  auto OnSentToTarget(MonotonicTime now) -> void { reach_.OnSent(now); }
  auto OnTargetAnswered(MonotonicTime now) -> void { reach_.OnAnswer(now); }
  auto OnProbeAnswered(MonotonicTime now) -> void {
    reach_.OnProbeAnswer(now);
    OnState(now);
  }
  auto OnTargetUnreachable(const TargetName& target, MonotonicTime now) -> void {
    reach_.OnUnreachable(target, now);
    OnState(now);
  }
  auto OnStoreRestored() -> void { admission_.OnStoreRestored(); }
  auto reach() const -> const TargetReach& { return reach_; }
  auto IsStranded(MonotonicTime now) const -> bool {
    return reach_.state(now) == TargetReach::State::kStranded;
  }

  /// Returns the VM to pass a request of the route on to, if there is one.
  auto Choose(const Route& route, const ServiceName& service, MonotonicTime now)
      -> std::optional<EntryVm> {
    return peers_.Choose(core_.entry_vms().Announced(now), core_.node(), core_.location(), route,
                         service, now, random_);
  }

  auto Send(const EntryVm& vm, const ServiceName& service, const HttpRequest& request,
            RelayTerms terms, Duration time_left, HttpClient::SendOptions options,
            OnAnswer on_answer) -> std::shared_ptr<HttpClient::Exchange> {
    terms.config = admission_.LeastConfig(terms.config);
    // An answer without a verdict names no request: on a connection that has been used, it may be
    // the answer to an earlier one.
    if (!peers_.KnowsRelays(vm.name)) options.max_idle = HttpClient::SendOptions::kNewConnection;
    return client_.Send(
        vm.peer_endpoint, Format::ForRelay(request, terms, time_left), time_left, options,
        [this, name = vm.name, service, on_answer = std::move(on_answer)](HttpResult result) {
          const std::string verdict(Format::RelayVerdict(result.response));
          const auto reply = Format::ReadRelayed(result);
          if (result.status.ok()) peers_.OnAnswer(name, reply.has_verdict);
          admission_.OnRun(reply.config);
          if (reply.end == AttemptOutcome::kNotSent) {
            peers_.OnFailure(name, service, SystemClock().Now());
          }
          on_answer(reply.end, reply.arrivals, verdict, std::move(result));
        });
  }

 private:
  auto OnState(MonotonicTime now) -> void {
    const bool stranded = IsStranded(now);
    if (stranded == was_stranded_) return;
    was_stranded_ = stranded;
    metrics_.Set(Metric::kStranded, {}, stranded ? 1 : 0);
    const auto duration = stranded ? Duration::zero() : now - reach_.stranded_since();
    log_.Write(LogLevel::kWarning, stranded ? "stranded" : "stranded-over",
               {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()}});
    if (stranded) on_stranded_();
  }

  GatewayCore& core_;
  HttpClient& client_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const OnStranded on_stranded_;
  Random random_;
  TargetReach reach_;
  RelayPeers peers_;
  RelayAdmission admission_;
  bool was_stranded_ = false;
};

}  // namespace heatherspan
