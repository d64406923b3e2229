#pragma once

#include <string>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// What a caller wants done once: a request to a service, with the attempts that it takes.
struct Operation {
  std::string service;
  std::string method = "GET";
  std::string path;  ///< As the target sees it.
  std::string body;
  std::string request_id;
};

/// How an operation ended for its caller.
enum class Outcome {
  kAnswered,  ///< A whole answer to this request, verified.
  kRefused,   ///< Every attempt was refused as not run, or never left the caller.
  kUnknown,   ///< An attempt may have run, and no later one told.
  kWrong,     ///< An answer that is damaged or belongs to another request.
};

/// Returns "answered", "refused", "unknown" or "wrong".
auto OutcomeText(Outcome outcome) -> const char*;

/// The end of an operation and what happened on the way.
struct OperationResult {
  Outcome outcome = Outcome::kRefused;
  std::string detail;                 ///< The last reason, or what is wrong with the answer.
  std::vector<std::string> refusals;  ///< "REASON/VERDICT" of each refused attempt.
  std::vector<std::string>
      lost_at;  ///< The entry VMs that did not answer after a request was sent.
  std::vector<std::string> tickets;  ///< In the order of their use.
  int connect_failures = 0;
  int repeats = 0;  ///< Attempts after the first one, without those that fetched a ticket.
  MonotonicTime started;
  Duration duration{};
};

}  // namespace heatherspan
