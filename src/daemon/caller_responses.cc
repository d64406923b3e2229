#include "daemon/caller_responses.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/header_names.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection",        "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
    "transfer-encoding", "upgrade",    "content-length"};

struct ReasonStatus {
  Reason reason;
  int status;
};

// For other reasons, the status is 503 for "not run" and 502 for "may have run".
constexpr std::array<ReasonStatus, 9> kReasonStatuses = {{
    {Reason::kBadRequest, 400},
    {Reason::kTicketInvalid, 400},
    {Reason::kUnknownService, 404},
    {Reason::kTicketExpired, 409},
    {Reason::kTicketRequired, 428},
    {Reason::kTeamLimit, 429},
    {Reason::kDeadline, 504},
    {Reason::kTargetTimeout, 504},
    {Reason::kPeerTimeout, 504},
}};

auto AddHeader(HttpResponse& response, std::string_view name, std::string value) -> void {
  response.headers.push_back({std::string(name), std::move(value)});
}

auto AddCommonHeaders(HttpResponse& response, const RequestId& id, Verdict verdict,
                      ConfigVersion version) -> void {
  AddHeader(response, kRequestIdHeader, id.value());
  AddHeader(response, kVerdictHeader, std::string(VerdictText(verdict)));
  AddHeader(response, kConfigVersionHeader, std::to_string(version.value()));
}

auto EqualsIgnoringCase(std::string_view a, std::string_view b) -> bool {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

}  // namespace

auto HttpStatusOf(const Refusal& refusal) -> int {
  const auto* found =
      std::find_if(kReasonStatuses.begin(), kReasonStatuses.end(),
                   [&](const ReasonStatus& entry) { return entry.reason == refusal.reason; });
  if (found != kReasonStatuses.end()) return found->status;
  return refusal.verdict == Verdict::kNotRun ? 503 : 502;
}

auto LookupBody(std::string_view service, const LookupAnswer& answer, std::string_view ticket)
    -> std::string {
  // Formatted without the JSON library, because the values need no escapes and look-ups are the hot
  // path.
  std::string body;
  body.reserve(512);
  fmt::format_to(std::back_inserter(body), R"({{"service":"{}","addresses":[)", service);
  std::string_view separator;
  for (const auto* node : answer.Nodes()) {
    fmt::format_to(std::back_inserter(body), R"({}{{"address":"{}","zone":"{}"}})", separator,
                   node->caller_endpoint.Text(), node->zone.value());
    separator = ",";
  }
  const auto lifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(answer.lifetime).count();
  fmt::format_to(std::back_inserter(body), R"(],"lifetime_ms":{})", lifetime);
  if (!ticket.empty()) fmt::format_to(std::back_inserter(body), R"(,"ticket":"{}")", ticket);
  body += "}\n";
  return body;
}

auto RefusalHttpResponse(int status, const RequestId& id, const Refusal& refusal,
                         ConfigVersion version) -> HttpResponse {
  HttpResponse response;
  response.status = status;
  nlohmann::json body = {{"verdict", VerdictText(refusal.verdict)},
                         {"reason", ReasonText(refusal.reason)},
                         {"request_id", id.value()}};
  AddCommonHeaders(response, id, refusal.verdict, version);
  AddHeader(response, kReasonHeader, std::string(ReasonText(refusal.reason)));
  AddHeader(response, "Content-Type", "application/json");
  if (refusal.retry_after.has_value()) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*refusal.retry_after).count();
    AddHeader(response, kRetryAfterHeader, std::to_string(std::max<std::int64_t>(1, seconds)));
    AddHeader(response, kRetryAfterMsHeader, std::to_string(refusal.retry_after->count()));
    body["retry_after_ms"] = refusal.retry_after->count();
  }
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
  return response;
}

auto AnswerHttpResponse(const RequestId& id, ForwardResponse response, ConfigVersion version)
    -> HttpResponse {
  HttpResponse http;
  http.status = static_cast<int>(response.status);
  AddCommonHeaders(http, id, Verdict::kRan, version);
  for (auto& header : response.headers) {
    // The target echoes the request id, but the caller must receive this header only once.
    if (IsHopByHop(header.name) || EqualsIgnoringCase(header.name, kRequestIdHeader)) continue;
    http.headers.push_back(std::move(header));
  }
  http.body = std::move(response.body);
  return http;
}

auto IsHopByHop(std::string_view name) -> bool {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(),
                     [&](std::string_view hop) { return EqualsIgnoringCase(name, hop); });
}

}  // namespace heatherspan
