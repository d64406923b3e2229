#include "daemon/caller_api.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include "absl/status/status.h"
#include "base/ip_address.h"
#include "base/number_text.h"
#include "daemon/caller_responses.h"
#include "daemon/forward_results.h"
#include "daemon/header_names.h"
#include "daemon/leave_state.h"
#include "daemon/published_configuration.h"
#include "daemon/query_parameters.h"
#include "daemon/request_router.h"
#include "daemon/ticket_service.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"
#include "steering/answer_lookup.h"

namespace heatherspan {
namespace {

constexpr std::string_view kLookupPath = "/v1/lookup";
constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kTicketsPath = "/v1/tickets/";

constexpr std::uint32_t kMaxDeadlineMs = 600'000;
constexpr std::size_t kMaxRequestIdLength = 128;

// Headers that this system sets in requests to targets, or that only this system evaluates.
constexpr std::array<std::string_view, 4> kReservedHeaders = {
    "heatherspan-request-id", "heatherspan-deadline-ms", "host", "expect"};

auto IsReservedHeader(std::string_view name) -> bool {
  return std::any_of(
      kReservedHeaders.begin(), kReservedHeaders.end(), [&](std::string_view reserved) {
        return std::equal(name.begin(), name.end(), reserved.begin(), reserved.end(),
                          [](unsigned char a, unsigned char b) { return std::tolower(a) == b; });
      });
}

auto IsValidRequestId(std::string_view id) -> bool {
  return !id.empty() && id.size() <= kMaxRequestIdLength &&
         std::all_of(id.begin(), id.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

auto IsIdempotent(const Service& service, const std::string& method) -> bool {
  const auto& methods = service.idempotent_methods;
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

auto JsonResponse(int status, const nlohmann::json& body) -> HttpResponse {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return response;
}

}  // namespace

CallerApi::CallerApi(const PublishedConfiguration& configuration, RequestRouter& router,
                     TicketService& tickets, const LeaveState& leave_state,
                     MetricsRegistry& metrics, EventLog& log, const NodeIdentity& identity,
                     std::uint64_t seed)
    : configuration_(configuration),
      router_(router),
      tickets_(tickets),
      leave_state_(leave_state),
      metrics_(metrics),
      log_(log),
      zone_(identity.zone),
      instance_(identity.instance),
      random_(seed) {}

auto CallerApi::Handle(HttpRequest request, HttpServer::Responder responder) -> void {
  const std::string_view path = PathOf(request.target);
  if (path == kLookupPath) return HandleLookup(request, responder);
  if (path.starts_with(kServicesPath)) {
    const auto service_and_path = std::string(request.target.substr(kServicesPath.size()));
    return HandleService(std::move(request), service_and_path, std::move(responder));
  }
  if (path.starts_with(kTicketsPath)) {
    return HandleTicketStatus(path.substr(kTicketsPath.size()), std::move(responder));
  }
  responder(
      JsonResponse(404, {{"error", fmt::format("no such path; expected {}, {}NAME/... or {}TICKET",
                                               kLookupPath, kServicesPath, kTicketsPath)}}));
}

auto CallerApi::Version() const -> ConfigVersion {
  const auto current = configuration_.Current();
  return current ? current->version : ConfigVersion(0);
}

auto CallerApi::HandleLookup(const HttpRequest& request, const Responder& responder) -> void {
  const auto configuration = configuration_.Current();
  const auto count = [&](std::string_view result) {
    metrics_.Increment(Metric::kLookups, {{"result", result}});
  };
  if (configuration == nullptr) {
    count("no-configuration");
    return Refuse(RequestIdOf(request),
                  {Verdict::kNotRun, Reason::kNoConfiguration, std::chrono::seconds(1)}, responder);
  }
  const auto service = QueryParameter(request.target, "service");
  const auto client_text = QueryParameter(request.target, "client");
  const auto client = IpAddress::Parse(client_text.value_or(request.remote.address));
  if (!service.has_value() || !client.ok()) {
    count("bad-request");
    const auto error = service.has_value() ? std::string(client.status().message())
                                           : std::string("the parameter \"service\" is missing");
    return responder(JsonResponse(400, {{"error", error}}));
  }
  LookupAnswer answer;
  {
    const std::lock_guard lock(random_mutex_);
    answer = AnswerLookup(*configuration->view, {*service, *client}, random_);
  }
  if (answer.reason != Reason::kNone) {
    count(ReasonText(answer.reason));
    const Refusal refusal{Verdict::kNotRun, answer.reason, std::chrono::seconds(1)};
    return Refuse(RequestIdOf(request), refusal, responder);
  }
  count("answered");
  const bool wants_ticket = QueryParameter(request.target, "ticket") == "1";
  const auto ticket =
      wants_ticket && leave_state_.issues_tickets() ? tickets_.Issue() : std::string();
  HttpResponse response;
  response.headers.push_back({"Content-Type", "application/json"});
  response.headers.push_back(
      {std::string(kConfigVersionHeader), std::to_string(configuration->version.value())});
  response.body = LookupBody(*service, answer, ticket);
  responder(std::move(response));
}

auto CallerApi::ClientRegionOf(const HttpRequest& request, const Configuration& configuration) const
    -> RegionName {
  const auto& view = *configuration.view;
  const auto given = request.Header(kClientHeader);
  const auto client = IpAddress::Parse(given.empty() ? request.remote.address : given);
  if (client.ok()) {
    const auto match = view.clients().Find(*client);
    const auto zone = match.has_value() ? view.ClientZone(match->client_zone_index) : std::nullopt;
    if (zone.has_value()) return view.regions()[view.zones()[*zone].region].name;
  }
  const auto* own = view.RegionOf(zone_);
  return own == nullptr ? RegionName() : *own;
}

auto CallerApi::RequestIdOf(const HttpRequest& request) -> RequestId {
  const auto given = request.Header(kRequestIdHeader);
  if (IsValidRequestId(given)) return RequestId(std::string(given));
  return RequestId(fmt::format("{:016x}-{}", instance_.value(), next_request_.fetch_add(1)));
}

auto CallerApi::Refuse(const RequestId& id, const Refusal& refusal, const Responder& responder)
    -> void {
  metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(refusal.reason)},
                                         {"verdict", VerdictText(refusal.verdict)}});
  log_.Write(LogLevel::kInfo, "refused",
             {{"request_id", id.value()},
              {"reason", ReasonText(refusal.reason)},
              {"verdict", VerdictText(refusal.verdict)},
              {"config_version", Version().value()}});
  auto response = RefusalHttpResponse(HttpStatusOf(refusal), id, refusal, Version());
  response.close = leave_state_.is_refusing();
  responder(std::move(response));
}

auto CallerApi::ReadRequest(HttpRequest request, const Service& service, std::string path)
    -> absl::StatusOr<RoutedRequest> {
  RoutedRequest routed;
  routed.id = RequestIdOf(request);
  routed.service = service.name;
  routed.idempotent = IsIdempotent(service, request.method);
  const auto now = clock_.Now();
  routed.deadline = now + service.default_deadline;
  if (const auto text = request.Header(kDeadlineHeader); !text.empty()) {
    const auto milliseconds = ParseNumber<std::uint32_t>(text);
    if (!milliseconds.has_value() || *milliseconds > kMaxDeadlineMs) {
      return absl::InvalidArgumentError(
          fmt::format("{}: \"{}\" is not a number of milliseconds from 0 to {}", kDeadlineHeader,
                      text, kMaxDeadlineMs));
    }
    routed.deadline = now + std::chrono::milliseconds(*milliseconds);
  }
  routed.method = std::move(request.method);
  routed.path = std::move(path);
  for (auto& header : request.headers) {
    if (IsHopByHop(header.name) || IsReservedHeader(header.name)) continue;
    routed.headers.push_back(std::move(header));
  }
  routed.body = std::move(request.body);
  return routed;
}

auto CallerApi::HandleService(HttpRequest request, std::string_view service_and_path,
                              Responder responder) -> void {
  const auto configuration = configuration_.Current();
  const std::string ticket(request.Header(kTicketHeader));
  // Only the owner of the ticket knows whether an earlier attempt has run.
  const auto verdict = ticket.empty() ? Verdict::kNotRun : Verdict::kMayHaveRun;
  if (leave_state_.is_refusing()) {
    return Refuse(RequestIdOf(request), {verdict, Reason::kLeaving, {}}, responder);
  }
  if (configuration == nullptr) {
    return Refuse(RequestIdOf(request),
                  {verdict, Reason::kNoConfiguration, std::chrono::seconds(1)}, responder);
  }
  const auto name = service_and_path.substr(0, service_and_path.find_first_of("/?"));
  const auto* table = configuration->view->FindService(name);
  if (table == nullptr) {
    return Refuse(RequestIdOf(request), {verdict, Reason::kUnknownService, {}}, responder);
  }
  std::string path(service_and_path.substr(name.size()));
  if (path.empty() || path.front() != '/') path.insert(0, "/");
  const auto id = RequestIdOf(request);
  const auto received = clock_.Now();
  const auto client_region = ClientRegionOf(request, *configuration);
  auto routed = ReadRequest(std::move(request), *table->service, std::move(path));
  if (!routed.ok()) {
    return Refuse(id, {verdict, Reason::kBadRequest, {}}, responder);
  }
  routed->id = id;
  routed->client_region = client_region;
  if (!routed->idempotent && ticket.empty()) return RequireTicket(*routed, responder);
  ForwardCallback callback = [this, id, service = routed->service, received,
                              responder = std::move(responder)](ForwardResponse response) {
    Finish(id, service, received, std::move(response), responder);
  };
  if (routed->idempotent) return router_.Route(std::move(*routed), std::move(callback));
  tickets_.Run(ticket, std::move(*routed), std::move(callback));
}

auto CallerApi::RequireTicket(const RoutedRequest& routed, const Responder& responder) -> void {
  const Refusal refusal{Verdict::kNotRun, Reason::kTicketRequired, {}};
  if (!leave_state_.issues_tickets()) {
    return Refuse(routed.id, {Verdict::kNotRun, Reason::kLeaving, {}}, responder);
  }
  metrics_.Increment(Metric::kRefusals, {{"reason", ReasonText(refusal.reason)},
                                         {"verdict", VerdictText(refusal.verdict)}});
  auto response = RefusalHttpResponse(HttpStatusOf(refusal), routed.id, refusal, Version());
  response.headers.push_back({std::string(kTicketHeader), tickets_.Issue()});
  responder(std::move(response));
}

auto CallerApi::Finish(const RequestId& id, const ServiceName& service, MonotonicTime received,
                       ForwardResponse response, const Responder& responder) -> void {
  metrics_.Increment(Metric::kRequests,
                     {{"service", service.value()}, {"verdict", VerdictText(response.verdict)}});
  if (response.verdict != Verdict::kRan || response.status == 0) {
    Refusal refusal{response.verdict, response.reason, std::nullopt};
    if (response.retry_after_ms > 0) {
      refusal.retry_after = std::chrono::milliseconds(response.retry_after_ms);
    }
    return Refuse(id, refusal, responder);
  }
  metrics_.Observe(Metric::kRequestSeconds, {{"service", service.value()}},
                   clock_.Now() - received);
  log_.Write(LogLevel::kDebug, "answered",
             {{"request_id", id.value()},
              {"service", service.value()},
              {"status", response.status},
              {"config_version", Version().value()}});
  responder(AnswerHttpResponse(id, std::move(response), Version()));
}

auto CallerApi::HandleTicketStatus(std::string_view ticket, Responder responder) -> void {
  tickets_.Status(std::string(ticket), [responder = std::move(responder)](
                                           const absl::StatusOr<TicketStatus>& status) {
    if (!status.ok()) {
      return responder(JsonResponse(400, {{"error", std::string(status.status().message())}}));
    }
    responder(JsonResponse(200, {{"known", status->known},
                                 {"running", status->running},
                                 {"verdict", VerdictText(status->outcome.verdict)},
                                 {"reason", ReasonText(status->outcome.reason)},
                                 {"status", status->outcome.status}}));
  });
}

}  // namespace heatherspan
