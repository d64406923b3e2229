#include "daemon/ticket_service.h"

#include <memory>
#include <utility>

#include "daemon/forward_results.h"
#include "daemon/peer_calls.h"
#include "daemon/published_configuration.h"
#include "daemon/request_router.h"
#include "net/peer_client.h"
#include "tickets/request_fingerprint.h"

namespace heatherspan {
namespace {

constexpr Duration kStatusTimeout = std::chrono::seconds(1);
// Bounds the memory that duplicates of one request can use.
constexpr std::size_t kMaxWaiters = 16;

auto ForwardResponseOf(const TicketDecision& decision) -> ForwardResponse {
  ForwardResponse response;
  response.verdict = decision.outcome.verdict;
  response.reason = decision.outcome.reason;
  response.status = decision.outcome.status;
  if (decision.response != nullptr) {
    for (const auto& [name, value] : decision.response->headers) {
      response.headers.push_back({name, value});
    }
    response.body = decision.response->body;
  }
  return response;
}

auto SavedResponseOf(const ForwardResponse& response) -> std::shared_ptr<const SavedResponse> {
  if (response.verdict != Verdict::kRan) return nullptr;
  auto saved = std::make_shared<SavedResponse>();
  for (const auto& header : response.headers) {
    saved->headers.emplace_back(header.name, header.value);
  }
  saved->body = response.body;
  return saved;
}

}  // namespace

TicketService::TicketService(const std::string& key, const NodeIdentity& identity,
                             TicketLimits limits, RequestRouter& router, PeerClient& peers,
                             const PublishedConfiguration& configuration, std::uint64_t seed)
    : codec_(key, identity.instance, identity.name),
      self_(identity.instance),
      router_(router),
      peers_(peers),
      configuration_(configuration),
      random_(seed),
      table_(identity.instance, limits) {}

auto TicketService::Issue() -> std::string {
  const std::lock_guard lock(mutex_);
  return codec_.Issue(clock_.Now(), random_);
}

auto TicketService::Run(const std::string& ticket, RoutedRequest request, ForwardCallback callback)
    -> void {
  const auto parsed = codec_.Parse(ticket);
  if (!parsed.ok()) {
    return callback(RefusalForwardResponse(Verdict::kNotRun, Reason::kTicketInvalid));
  }
  if (parsed->owner == self_) {
    return RunOwned(*parsed, std::move(request), std::move(callback));
  }
  ForwardToOwner(ticket, *parsed, request, std::move(callback));
}

auto TicketService::RunAsOwner(const std::string& ticket, RoutedRequest request,
                               ForwardCallback callback) -> void {
  const auto parsed = codec_.Parse(ticket);
  if (!parsed.ok()) {
    return callback(RefusalForwardResponse(Verdict::kNotRun, Reason::kTicketInvalid));
  }
  // An earlier instance at this address issued the ticket and may have run the request.
  if (parsed->owner != self_) {
    return callback(RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kTicketOwnerGone));
  }
  RunOwned(*parsed, std::move(request), std::move(callback));
}

auto TicketService::RunOwned(const Ticket& ticket, RoutedRequest request, ForwardCallback callback)
    -> void {
  const auto fingerprint =
      FingerprintRequest(request.method, request.service, request.path, request.body);
  TicketDecision decision;
  {
    const std::lock_guard lock(mutex_);
    decision = table_.Begin(ticket, fingerprint, clock_.Now());
    if (JoinWaiters(ticket, decision, callback)) return;
  }
  switch (decision.action) {
    case TicketDecision::Action::kStart:
      request.send_deadline = decision.send_deadline;
      router_.Route(std::move(request), [this, ticket](const ForwardResponse& response) {
        OnRequestEnd(ticket, response);
      });
      return;
    case TicketDecision::Action::kWait:
      return callback(RefusalForwardResponse(
          {Verdict::kMayHaveRun, Reason::kOverload, std::chrono::milliseconds(1000)}));
    case TicketDecision::Action::kReplay:
      return callback(ForwardResponseOf(decision));
    case TicketDecision::Action::kRefuse:
      return callback(RefusalForwardResponse(decision.refusal));
  }
}

auto TicketService::JoinWaiters(const Ticket& ticket, const TicketDecision& decision,
                                ForwardCallback& callback) -> bool {
  const bool starts = decision.action == TicketDecision::Action::kStart;
  if (!starts && decision.action != TicketDecision::Action::kWait) return false;
  auto& waiters = waiters_[ticket.nonce];
  if (waiters.size() >= kMaxWaiters) return false;
  waiters.push_back(std::move(callback));
  return !starts;
}

auto TicketService::OnRequestEnd(const Ticket& ticket, const ForwardResponse& response) -> void {
  std::vector<ForwardCallback> callbacks;
  {
    const std::lock_guard lock(mutex_);
    table_.Finish(ticket, {response.verdict, response.reason, response.status},
                  SavedResponseOf(response), clock_.Now());
    auto waiters = waiters_.extract(ticket.nonce);
    if (!waiters.empty()) callbacks = std::move(waiters.mapped());
  }
  for (const auto& callback : callbacks) callback(response);
}

auto TicketService::ForwardToOwner(const std::string& ticket_text, const Ticket& ticket,
                                   const RoutedRequest& request, ForwardCallback callback) -> void {
  const auto configuration = configuration_.Current();
  const auto* owner = configuration->view->FindNode(ticket.owner);
  if (owner == nullptr) {
    return callback(RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kTicketOwnerGone));
  }
  const auto now = clock_.Now();
  auto message = MakeForwardRequest(request, now);
  message.ticket = ticket_text;
  peers_.Call(owner->peer_endpoint, owner->instance, std::move(message), request.deadline - now,
              [callback = std::move(callback)](PeerResult result) {
                auto response = InterpretForwardResult(std::move(result));
                // This attempt sent nothing, but the owner may have run an earlier attempt.
                if (response.reason == Reason::kPeerUnreachable) {
                  response =
                      RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kTicketOwnerUnreachable);
                }
                callback(std::move(response));
              });
}

auto TicketService::LocalStatus(const std::string& ticket) const -> absl::StatusOr<TicketStatus> {
  const auto parsed = codec_.Parse(ticket);
  if (!parsed.ok()) return parsed.status();
  if (parsed->owner != self_) return TicketStatus{};
  const std::lock_guard lock(mutex_);
  return table_.Status(*parsed, clock_.Now());
}

auto TicketService::Status(const std::string& ticket, StatusCallback callback) -> void {
  const auto parsed = codec_.Parse(ticket);
  if (!parsed.ok()) return callback(parsed.status());
  if (parsed->owner == self_) return callback(LocalStatus(ticket));
  const auto configuration = configuration_.Current();
  const auto* owner = configuration ? configuration->view->FindNode(parsed->owner) : nullptr;
  if (owner == nullptr) return callback(TicketStatus{});
  peers_.Call(owner->peer_endpoint, owner->instance, TicketStatusRequest{ticket}, kStatusTimeout,
              [callback = std::move(callback)](PeerResult result) {
                const auto* response = std::get_if<TicketStatusResponse>(&result.response);
                if (!result.status.ok() || response == nullptr) return callback(TicketStatus{});
                callback(TicketStatus{response->known,
                                      response->running,
                                      {response->verdict, response->reason, response->status}});
              });
}

auto TicketService::records() const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return table_.records();
}

}  // namespace heatherspan
