#include "daemon/peer_calls.h"

#include <chrono>
#include <utility>
#include <variant>

#include "absl/status/status.h"
#include "daemon/forward_results.h"

namespace heatherspan {

auto MakeForwardRequest(const RoutedRequest& request, MonotonicTime now) -> ForwardRequest {
  ForwardRequest message;
  message.request_id = request.id;
  message.service = request.service;
  message.home = request.client_region;
  message.deadline_ms = MillisecondsLeft(request.deadline, now);
  message.method = request.method;
  message.path = request.path;
  message.headers = request.headers;
  message.body = request.body.text();
  return message;
}

auto MakeRoutedRequest(ForwardRequest message, bool idempotent, MonotonicTime now)
    -> RoutedRequest {
  RoutedRequest request;
  request.id = std::move(message.request_id);
  request.service = std::move(message.service);
  request.client_region = std::move(message.home);
  request.idempotent = idempotent;
  request.deadline = now + std::chrono::milliseconds(message.deadline_ms);
  request.method = std::move(message.method);
  request.path = std::move(message.path);
  request.headers = std::move(message.headers);
  request.body = message.body;
  return request;
}

auto InterpretForwardResult(PeerResult result) -> ForwardResponse {
  if (result.status.ok()) {
    if (auto* response = std::get_if<ForwardResponse>(&result.response); response != nullptr) {
      return std::move(*response);
    }
    return RefusalForwardResponse(Verdict::kMayHaveRun, Reason::kInternal);
  }
  if (result.progress == SendProgress::kNothingWritten) {
    return RefusalForwardResponse(Verdict::kNotRun, Reason::kPeerUnreachable);
  }
  const auto reason =
      absl::IsDeadlineExceeded(result.status) ? Reason::kPeerTimeout : Reason::kPeerConnectionLost;
  return RefusalForwardResponse(Verdict::kMayHaveRun, reason);
}

}  // namespace heatherspan
