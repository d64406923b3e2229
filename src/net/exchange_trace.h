#pragma once

#include <cstddef>
#include <cstdint>

#include "base/strong_number.h"
#include "net/answer_identity.h"
#include "net/exchange_events.h"

namespace heatherspan {

/// Unique in the process. Zero means none.
using ConnectionNumber = StrongNumber<struct ConnectionNumberTag, std::uint64_t>;

/// How an exchange went, for logs and metrics: no decision depends on it.
struct ExchangeTrace {
  ConnectionNumber connection;  ///< The last one, if there were two.
  int earlier_exchanges = 0;    ///< On that connection.
  std::size_t request_bytes = 0;
  /// What the operating system has reported as taken. A write whose notice is pending may have sent
  /// more.
  std::size_t written_bytes = 0;
  int foreign_answers = 0;  ///< Answers to other requests, which were dropped.
  AnswerIdentity identity = AnswerIdentity::kNoAnswer;
  ExchangeEvents events;
};

}  // namespace heatherspan
