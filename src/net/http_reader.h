#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "net/http_request.h"
#include "net/http_response.h"

namespace heatherspan {

enum class HttpReadError {
  kNone,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kNoLength,  ///< The end of a response could only be told by the end of the connection.
};

/// Reads one request after the other from the bytes of a connection.
class HttpRequestReader {
 public:
  HttpRequestReader(std::size_t max_header_bytes, std::size_t max_body_bytes);
  ~HttpRequestReader();
  HttpRequestReader(const HttpRequestReader&) = delete;
  auto operator=(const HttpRequestReader&) -> HttpRequestReader& = delete;

  /// May be called between two requests.
  auto SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes) -> void;

  /// Returns how many bytes of the input were used; the rest has to be passed again together with
  /// the bytes that follow.
  auto Read(std::string_view input) -> std::size_t;

  auto done() const -> bool;
  auto error() const -> HttpReadError;
  /// The error in words, in more detail; empty if there is none.
  auto error_text() const -> std::string;
  auto keep_alive() const -> bool;
  auto http_1_0() const -> bool;
  /// The sender waits for "100 Continue" before it sends the body.
  auto expects_continue() const -> bool;

  auto header_done() const -> bool;
  /// The memory that the header takes, complete or not.
  auto header_bytes() const -> std::size_t;
  /// The size of the body that has come.
  auto body_bytes() const -> std::size_t;
  /// The size of the body as the header states it; 0 if it does not.
  auto announced_bytes() const -> std::size_t;

  /// Hands over the request that was read and starts with the next one. `held`: what its body takes
  /// of an account.
  auto Take(HeldMemory held = {}) -> HttpRequest;
  /// Frees what has come of a request that will not be read to its end.
  auto Discard() -> void;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Reads one response after the other from the bytes of a connection. Informational responses are
/// skipped.
class HttpResponseReader {
 public:
  explicit HttpResponseReader(std::size_t max_body_bytes, bool accept_unframed = false);
  ~HttpResponseReader();
  HttpResponseReader(const HttpResponseReader&) = delete;
  auto operator=(const HttpResponseReader&) -> HttpResponseReader& = delete;

  /// Starts with a new response. That to a HEAD request has no body, whatever its header says.
  auto Start(bool head_request) -> void;
  auto Read(std::string_view input) -> std::size_t;
  /// The peer has ended the connection in an orderly way. Completes a response without a length, if
  /// those are accepted.
  auto OnEndOfInput() -> void;

  auto done() const -> bool;
  /// The status line and all fields have been read.
  auto head_done() const -> bool;
  auto error() const -> HttpReadError;
  auto keep_alive() const -> bool;
  auto response() const -> const HttpResponse&;
  /// What the response takes so far.
  auto memory_bytes() const -> std::size_t;
  auto Take() -> HttpResponse;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
