#pragma once

#include <condition_variable>
#include <mutex>

#include "base/endpoint.h"
#include "base/time.h"
#include "net/http_request.h"
#include "net/http_result.h"
#include "platform/call_pacer.h"

namespace heatherspan {

class HttpClient;

/// Sends blocking calls to the platform, with a deadline for each, a bounded rate, and a pause
/// after failures. Thread-safe; must not be called on a worker.
class PlatformCaller {
 public:
  struct Options {
    Endpoint endpoint;
    Duration call_timeout = std::chrono::seconds(2);
    CallPacer::Limits pace;
  };

  PlatformCaller(HttpClient& client, Options options, Random random);

  /// Waits for the rate limit for at most the call timeout, then sends. The service may take the
  /// extra time in addition to the timeout. During a pause after a failure the call fails at once
  /// with nothing written.
  auto Call(HttpRequest request, Duration extra_time = Duration::zero()) -> HttpResult;

 private:
  auto WaitForTurn() -> absl::Status;
  auto OnResult(const HttpResult& result) -> void;

  HttpClient& client_;
  const Options options_;
  SystemClock clock_;
  std::mutex mutex_;
  std::condition_variable turn_;
  CallPacer pacer_;
};

}  // namespace heatherspan
