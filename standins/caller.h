#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "base/number_text.h"
#include "base/random.h"
#include "base/time.h"
#include "fmt/format.h"
#include "net/http_request.h"
#include "net/http_result.h"
#include "standins/answer_body.h"
#include "standins/lookup_cache.h"
#include "standins/operation.h"

namespace heatherspan {

/// What a caller needs of its surroundings: time, and a way to send a request and wait.
template <class T>
concept CallerWorld = requires(T& world, const Endpoint& endpoint, HttpRequest request,
                               Duration duration) {
  { world.Now() } -> std::same_as<MonotonicTime>;
  {world.Pause(duration)};
  { world.Send(endpoint, std::move(request), duration) } -> std::same_as<HttpResult>;
};

/// A program that uses the system as its interface for callers demands: it caches look-up answers,
/// repeats only what is safe to repeat, keeps the ticket of an operation that may have run, and
/// obeys Retry-After. Not thread-safe.
template <CallerWorld World>
class Caller {
 public:
  struct Limits {
    Duration operation_time = std::chrono::seconds(8);  ///< No attempt starts after it.
    std::chrono::milliseconds deadline{2000};           ///< Of one attempt.
    Duration send_timeout = std::chrono::seconds(4);
    int max_attempts = 10;
  };

  /// The entry VMs are those that the caller knows before its first look-up. The client address is
  /// sent with look-ups; empty leaves it to the connection.
  Caller(World& world, std::vector<Endpoint> entry_vms, std::string client, Limits limits,
         Random random)
      : world_(world),
        entry_vms_(std::move(entry_vms)),
        client_(std::move(client)),
        limits_(limits),
        random_(random) {
    next_entry_vm_ = random_() % entry_vms_.size();
  }

  auto Run(const Operation& operation) -> OperationResult {
    Attempts attempts(operation, world_.Now());
    for (int i = 0; i < limits_.max_attempts && !attempts.ended; ++i) {
      if (world_.Now() - attempts.result.started >= limits_.operation_time) break;
      TryOnce(attempts);
    }
    auto& result = attempts.result;
    if (!attempts.ended && attempts.may_have_run) result.outcome = Outcome::kUnknown;
    result.duration = world_.Now() - result.started;
    return std::move(result);
  }

 private:
  struct Attempts {
    Attempts(const Operation& wanted, MonotonicTime now)
        : operation(wanted),
          needs_ticket(wanted.method != "GET"),
          digest(RequestDigest(wanted.method, wanted.path, wanted.body)) {
      result.started = now;
    }
    const Operation& operation;
    const bool needs_ticket;
    const std::string digest;
    std::string ticket;
    bool may_have_run = false;
    bool sent = false;
    bool ended = false;
    OperationResult result;
  };

  auto TryOnce(Attempts& attempts) -> void {
    const auto& service = attempts.operation.service;
    if (!cache_.Fresh(service, world_.Now())) LookUp(service);
    const auto address = cache_.Address(service);
    if (!address.has_value()) {
      attempts.result.detail = "no-address";
      return PauseBriefly();
    }
    if (attempts.needs_ticket && attempts.ticket.empty()) {
      UseTicket(attempts, cache_.TakeTicket(service, world_.Now()));
    }
    if (std::exchange(attempts.sent, true)) ++attempts.result.repeats;
    const auto result = world_.Send(*address, MakeRequest(attempts), limits_.send_timeout);
    if (result.status.ok()) {
      OnResponse(attempts, result.response);
    } else {
      OnNoResponse(attempts, *address, result);
    }
  }

  auto LookUp(const std::string& service) -> void {
    for (std::size_t i = 0; i < entry_vms_.size(); ++i) {
      const auto& entry_vm = entry_vms_[next_entry_vm_];
      auto target = fmt::format("/v1/lookup?service={}&ticket=1", service);
      if (!client_.empty()) target += "&client=" + client_;
      const auto result = world_.Send(
          entry_vm, {.method = "GET", .target = target, .headers = {}, .body = "", .remote = {}},
          limits_.deadline);
      const bool answered = result.status.ok() && result.response.status == 200;
      if (answered && cache_.Store(service, result.response.body, world_.Now())) return;
      next_entry_vm_ = (next_entry_vm_ + 1) % entry_vms_.size();
    }
  }

  static auto UseTicket(Attempts& attempts, std::string ticket) -> void {
    if (ticket.empty()) return;
    attempts.result.tickets.push_back(ticket);
    attempts.ticket = std::move(ticket);
  }

  auto MakeRequest(const Attempts& attempts) const -> HttpRequest {
    const auto& operation = attempts.operation;
    HttpRequest request{
        .method = operation.method,
        .target = fmt::format("/v1/services/{}{}", operation.service, operation.path),
        .headers = {{"Heatherspan-Request-Id", operation.request_id},
                    {"Heatherspan-Deadline-Ms", std::to_string(limits_.deadline.count())}},
        .body = operation.body,
        .remote = {}};
    if (!client_.empty()) request.headers.push_back({"Heatherspan-Client", client_});
    if (!attempts.ticket.empty()) {
      request.headers.push_back({"Heatherspan-Ticket", attempts.ticket});
    }
    return request;
  }

  auto OnNoResponse(Attempts& attempts, const Endpoint& address, const HttpResult& result) -> void {
    cache_.NextAddress(attempts.operation.service);
    if (result.progress == SendProgress::kNothingWritten) {
      ++attempts.result.connect_failures;
      attempts.result.detail = "connect";
    } else {
      attempts.may_have_run = true;
      attempts.result.lost_at.push_back(address.Text());
      attempts.result.detail = "lost";
    }
    PauseBriefly();
  }

  auto OnResponse(Attempts& attempts, const HttpResponse& response) -> void {
    const auto verdict = response.Header("Heatherspan-Verdict");
    if (verdict == "ran" || (verdict.empty() && response.status == 200)) {
      return OnAnswer(attempts, response);
    }
    const std::string reason(response.Header("Heatherspan-Reason"));
    attempts.result.detail = reason.empty() ? fmt::format("status-{}", response.status) : reason;
    if (response.status == 428 && verdict == "not-run") {
      attempts.sent = false;  // Fetching a ticket doesn't make the next attempt a repeat.
      return UseTicket(attempts, std::string(response.Header("Heatherspan-Ticket")));
    }
    attempts.result.refusals.push_back(
        fmt::format("{}/{}", attempts.result.detail, verdict.empty() ? "none" : verdict));
    if (verdict != "not-run") attempts.may_have_run = true;
    // A refused ticket is replaced only while it is certain that no attempt has run.
    if (!attempts.may_have_run) attempts.ticket.clear();
    cache_.NextAddress(attempts.operation.service);
    ObeyRetryAfter(attempts, response);
  }

  static auto OnAnswer(Attempts& attempts, const HttpResponse& response) -> void {
    auto& result = attempts.result;
    attempts.ended = true;
    // Of a large answer the system saves only that the request ran, not the body.
    const bool saved_without_body =
        response.body.empty() || !response.Header("Heatherspan-Reason").empty();
    const bool repeated_without_body = result.repeats > 0 && saved_without_body;
    result.detail = repeated_without_body ? "" : Fault(attempts, response);
    result.outcome = result.detail.empty() ? Outcome::kAnswered : Outcome::kWrong;
  }

  /// What is wrong with an answer; empty if it is whole and belongs to the request.
  static auto Fault(const Attempts& attempts, const HttpResponse& response) -> std::string {
    if (response.status != 200) return fmt::format("status {}", response.status);
    const auto body = AnswerBody::Parse(response.body);
    if (!body.has_value()) return "incomplete body";
    const auto& id = attempts.operation.request_id;
    if (body->digest != attempts.digest) return "answer to request " + body->request_id;
    if (body->request_id != id) return "target saw request id " + body->request_id;
    const auto header = response.Header("Heatherspan-Request-Id");
    if (!header.empty() && header != id) return fmt::format("request id {} in the header", header);
    if (attempts.needs_ticket && body->ticket != attempts.ticket) return "another ticket";
    return "";
  }

  /// The time that the refusal asks for, in milliseconds where it says so.
  static auto RetryAfter(const HttpResponse& response) -> std::optional<Duration> {
    const auto exact = ParseNumber<std::uint32_t>(response.Header("Heatherspan-Retry-After-Ms"));
    if (exact.has_value()) return std::chrono::milliseconds(*exact);
    const auto seconds = ParseNumber<std::uint32_t>(response.Header("Retry-After"));
    if (seconds.has_value()) return std::chrono::seconds(*seconds);
    return std::nullopt;
  }

  auto ObeyRetryAfter(Attempts& attempts, const HttpResponse& response) -> void {
    const auto wait = RetryAfter(response);
    if (!wait.has_value()) return PauseBriefly();
    const auto left = limits_.operation_time - (world_.Now() - attempts.result.started);
    world_.Pause(std::min(*wait, std::max(left, Duration::zero())));
  }

  auto PauseBriefly() -> void {
    std::uniform_int_distribution<int> milliseconds(20, 60);
    world_.Pause(std::chrono::milliseconds(milliseconds(random_)));
  }

  World& world_;
  const std::vector<Endpoint> entry_vms_;
  const std::string client_;
  const Limits limits_;
  Random random_;
  LookupCache cache_;
  std::size_t next_entry_vm_ = 0;
};

}  // namespace heatherspan
