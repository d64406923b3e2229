#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "net/answer_identity.h"
#include "net/http_reader.h"
#include "net/http_response.h"
#include "net/memory_account.h"

namespace heatherspan {

class HttpClientState;
struct HttpRequest;

/// Reads the response to one request after the other from the bytes of a client's connection, and
/// drops responses that name another request.
class CorrelatedResponseReader {
 public:
  /// The peer's name is for error texts. `give_way`: see ArrivingBody.
  CorrelatedResponseReader(std::string peer, std::shared_ptr<HttpClientState> client,
                           std::function<void()> give_way);
  ~CorrelatedResponseReader();
  CorrelatedResponseReader(const CorrelatedResponseReader&) = delete;
  auto operator=(const CorrelatedResponseReader&) -> CorrelatedResponseReader& = delete;

  /// Starts with a new connection.
  auto OnConnected() -> void;
  /// Whether the connection may carry the request. A copy of the answer to an earlier request could
  /// not be told from the answer to a request of the same id or without one.
  auto MayCarry(const HttpRequest& request) const -> bool;
  /// Starts with the response to a request. `reused`: the connection has had another exchange.
  auto Start(const HttpRequest& request, bool reused) -> void;
  /// Frees memory that an idle or closed connection does not need.
  auto Shrink() -> void;
  /// Gives up the present response.
  auto Abandon() -> void;

  /// Space for the next bytes; empty if a response's head is too long for the buffer.
  auto Space() -> std::span<char>;
  /// Reads the bytes that were stored in the space. Returns an error if no response can follow.
  auto OnBytes(std::size_t size) -> absl::Status;
  /// The peer has ended the connection in an orderly way. True if that completes the response.
  auto OnEndOfInput() -> bool;

  /// The response has to be given up, because the memory is needed for others.
  auto gave_way() const -> bool { return arriving_.has_value() && arriving_->gave_way(); }
  auto OutOfMemory() const -> absl::Status;

  /// The whole response is there.
  auto done() const -> bool { return reader_.done(); }
  /// Bytes of a response have arrived.
  auto has_started() const -> bool { return has_started_; }
  /// No byte has arrived that belongs to none or to another request.
  auto is_in_step() const -> bool { return in_step_ && end_ == 0; }
  auto keep_alive() const -> bool { return reader_.keep_alive(); }
  auto response() const -> const HttpResponse& { return reader_.response(); }
  /// Responses to other requests that were dropped since the start.
  auto foreign_responses() const -> int { return foreign_responses_; }
  /// What the present response says of the request that it belongs to.
  auto identity() const -> AnswerIdentity;
  /// The response names no request and came on a connection that was used before.
  auto may_be_copy() const -> bool;
  /// The status and the fields of a response that is known to answer the request.
  auto HeadOfResponse() const -> HttpResponse;

  auto Take() -> HttpResponse;

 private:
  auto IdOf(const HttpRequest& request) const -> std::string_view;
  auto Parse() -> absl::Status;
  /// Counts the memory of the present response. Returns false if it has to be given up.
  auto SetReadingBytes(std::size_t bytes) -> bool;
  auto DropForeignResponse() -> bool;

  const std::string peer_;
  const std::shared_ptr<HttpClientState> client_;
  HttpResponseReader reader_;
  std::vector<char> buffer_;
  std::size_t end_ = 0;            ///< Bytes in the buffer that are not read yet.
  std::size_t reading_bytes_ = 0;  ///< Memory of the present response, unless it is small.
  const std::function<void()> give_way_;
  std::optional<ArrivingBody> arriving_;  ///< The present response, unless it is small.
  std::string expected_;                ///< What the response to the present request has to repeat.
  std::vector<std::uint64_t> carried_;  ///< Hashes of the ids that the connection has carried.
  bool is_head_request_ = false;
  bool is_reused_ = false;
  bool has_started_ = false;
  bool in_step_ = true;  ///< False after a response to another request.
  int foreign_responses_ = 0;
};

}  // namespace heatherspan
