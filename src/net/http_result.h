#pragma once

#include "absl/status/status.h"
#include "net/connection_end.h"
#include "net/exchange_trace.h"
#include "net/http_response.h"

namespace heatherspan {

/// How far an exchange came, which decides whether the request may have run.
enum class SendProgress {
  kNothingWritten,  ///< No byte of the request left this process.
  kWritten,         ///< At least one byte was handed to the connection.
  kCompleted,       ///< The whole response was read.
};

/// The end of an HTTP exchange.
struct HttpResult {
  absl::Status status;  ///< OK exactly if the whole response was read.
  SendProgress progress = SendProgress::kNothingWritten;
  HttpResponse response;  ///< Without a body if the response broke off behind its head.
  ConnectionEnd connection_end = ConnectionEnd::kOther;  ///< Valid if the exchange failed.
  /// The response names no request and came on a connection that was used before: it may be a late
  /// copy of an earlier one.
  bool may_be_copy = false;
  ExchangeTrace trace = {};
};

}  // namespace heatherspan
