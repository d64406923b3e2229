#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/refusal.h"
#include "base/time.h"
#include "daemon/configuration.h"
#include "daemon/node_identity.h"
#include "daemon/routed_request.h"
#include "net/http_server.h"

namespace heatherspan {

class EventLog;
class LeaveState;
class MetricsRegistry;
class PublishedConfiguration;
class RequestRouter;
class TicketService;

/// The HTTP interface for callers: look-ups, requests and the status of tickets. Thread-safe.
class CallerApi {
 public:
  CallerApi(const PublishedConfiguration& configuration, RequestRouter& router,
            TicketService& tickets, const LeaveState& leave_state, MetricsRegistry& metrics,
            EventLog& log, const NodeIdentity& identity, std::uint64_t seed);

  auto Handle(HttpRequest request, HttpServer::Responder responder) -> void;

 private:
  using Responder = HttpServer::Responder;

  auto HandleLookup(const HttpRequest& request, const Responder& responder) -> void;
  auto HandleService(HttpRequest request, std::string_view service_and_path, Responder responder)
      -> void;
  auto HandleTicketStatus(std::string_view ticket, Responder responder) -> void;
  auto RequireTicket(const RoutedRequest& routed, const Responder& responder) -> void;
  auto ReadRequest(HttpRequest request, const Service& service, std::string path)
      -> absl::StatusOr<RoutedRequest>;
  auto ClientRegionOf(const HttpRequest& request, const Configuration& configuration) const
      -> RegionName;
  auto RequestIdOf(const HttpRequest& request) -> RequestId;
  auto Finish(const RequestId& id, const ServiceName& service, MonotonicTime received,
              ForwardResponse response, const Responder& responder) -> void;
  auto Refuse(const RequestId& id, const Refusal& refusal, const Responder& responder) -> void;
  auto Version() const -> ConfigVersion;

  const PublishedConfiguration& configuration_;
  RequestRouter& router_;
  TicketService& tickets_;
  const LeaveState& leave_state_;
  MetricsRegistry& metrics_;
  EventLog& log_;
  ZoneName zone_;
  InstanceId instance_;
  SystemClock clock_;
  std::atomic<std::uint64_t> next_request_{1};
  std::mutex random_mutex_;  ///< Leaf lock: no other lock is acquired while it is held.
  Random random_;
};

}  // namespace heatherspan
