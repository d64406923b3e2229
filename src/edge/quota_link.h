#pragma once

#include <functional>
#include <string>
#include <utility>

#include "base/endpoint.h"
#include "base/time.h"
#include "edge/platform_ports.h"
#include "edge/team_quota_gate.h"
#include "net/http_client.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Carries messages about quotas between the gates of two entry VMs.
template <QuotaMessageFormat Format>
class QuotaLink {
 public:
  QuotaLink(HttpClient& client, EventLog& log, MetricsRegistry& metrics)
      : client_(client), log_(log), metrics_(metrics) {}

  auto Send(const Endpoint& keeper, const QuotaAsk& ask, Duration timeout,
            TeamQuotaGate::OnReply on_reply) -> void {
    auto request = Format::WriteAsk(ask);
    metrics_.Increment(Metric::kQuotaMessages, {{"end", "asked"}});
    metrics_.Increment(Metric::kQuotaMessageBytes, {{"end", "asked"}},
                       static_cast<double>(request.body.size()));
    client_.Send(keeper, std::move(request), timeout,
                 [this, keeper, on_reply = std::move(on_reply)](const HttpResult& result) {
                   on_reply(Read(keeper, result));
                 });
  }

  /// Answers another entry VM's ask.
  auto Answer(const HttpRequest& request, TeamQuotaGate& gate) -> HttpResponse {
    const auto ask = Format::ReadAsk(request);
    if (!ask.ok()) {
      Reject(request.remote, ask.status());
      return Format::Malformed();
    }
    metrics_.Increment(Metric::kQuotaMessages, {{"end", "answered"}});
    const auto answer = gate.OnAsk(*ask);
    if (!answer.has_value()) return Format::Declined();
    auto response = Format::WriteAnswer(*answer);
    metrics_.Increment(Metric::kQuotaMessageBytes, {{"end", "answered"}},
                       static_cast<double>(request.body.size() + response.body.size()));
    return response;
  }

 private:
  auto Read(const Endpoint& keeper, const HttpResult& result) -> TeamQuotaGate::Reply {
    using Failure = QuotaClient::Failure;
    if (!result.status.ok()) {
      // Nothing listens: the process that held what was lent is gone.
      const bool is_gone = result.connection_end == ConnectionEnd::kRefused;
      return {std::nullopt, is_gone ? Failure::kDeclined : Failure::kLost};
    }
    if (Format::IsDeclined(result.response)) return {std::nullopt, Failure::kDeclined};
    auto answer = Format::ReadAnswer(result.response);
    if (!answer.ok()) {
      Reject(keeper, answer.status());
      return {std::nullopt, Failure::kLost};
    }
    return {*std::move(answer), Failure::kLost};
  }

  auto Reject(const Endpoint& peer, const absl::Status& status) -> void {
    metrics_.Increment(Metric::kRejectedInput, {{"listener", "peers"}, {"cause", "quota"}});
    log_.Write(LogLevel::kWarning, "quota-message-refused",
               {{"peer", peer.Text()}, {"error", std::string(status.message())}});
  }

  HttpClient& client_;
  EventLog& log_;
  MetricsRegistry& metrics_;
};

}  // namespace heatherspan
