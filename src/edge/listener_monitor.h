#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http_server.h"
#include "net/input_refusal.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Publishes and logs what the servers of this process refuse themselves, which no handler sees.
class ListenerMonitor {
 public:
  ListenerMonitor(EventLog& log, MetricsRegistry& metrics) : log_(log), metrics_(metrics) {}

  /// Must be called before the server listens. The log has to outlive the server.
  auto Watch(std::string_view listener, HttpServer& server) -> void {
    server.SetRefusalObserver([&log = log_, name = std::string(listener)](
                                  const InputRefusal& refusal) { Write(log, name, refusal); });
    listeners_.emplace_back(listener, &server);
  }

  auto OnTick() -> void {
    for (const auto& [listener, server] : listeners_) {
      const auto counters = server->counters();
      Publish(listener, CauseText(InputRefusal::Cause::kBadRequest), counters.bad_request);
      Publish(listener, CauseText(InputRefusal::Cause::kHeaderTooLarge), counters.header_too_large);
      Publish(listener, CauseText(InputRefusal::Cause::kBodyTooLarge), counters.body_too_large);
      Publish(listener, CauseText(InputRefusal::Cause::kRequestTimeout), counters.request_timeout);
      Publish(listener, CauseText(InputRefusal::Cause::kTooManyConnections),
              counters.too_many_connections);
      Publish(listener, CauseText(InputRefusal::Cause::kNoMemory), counters.no_memory);
      Publish(listener, "caller-gone", counters.caller_gone);
    }
  }

 private:
  static auto CauseText(InputRefusal::Cause cause) -> std::string_view {
    switch (cause) {
      case InputRefusal::Cause::kBadRequest:
        return "bad-request";
      case InputRefusal::Cause::kHeaderTooLarge:
        return "header-too-large";
      case InputRefusal::Cause::kBodyTooLarge:
        return "body-too-large";
      case InputRefusal::Cause::kRequestTimeout:
        return "request-timeout";
      case InputRefusal::Cause::kTooManyConnections:
        return "too-many-connections";
      case InputRefusal::Cause::kNoMemory:
        return "no-memory";
    }
    return "";
  }

  static auto Write(EventLog& log, std::string_view listener, const InputRefusal& refusal) -> void {
    log.Write(LogLevel::kWarning, "input-refused",
              {{"listener", listener},
               {"remote", refusal.remote.Text()},
               {"status", refusal.status},
               {"cause", CauseText(refusal.cause)},
               {"error", refusal.error},
               {"message_bytes", refusal.message_bytes},
               {"handled_requests", refusal.handled_requests},
               {"max_header_bytes", refusal.max_header_bytes},
               {"max_body_bytes", refusal.max_body_bytes},
               {"max_connections", refusal.max_connections},
               {"limits_outdated", refusal.limits_outdated ? 1 : 0}});
  }

  auto Publish(std::string_view listener, std::string_view cause, std::size_t count) -> void {
    metrics_.Set(Metric::kRejectedInput, {{"listener", listener}, {"cause", cause}},
                 static_cast<double>(count));
  }

  EventLog& log_;
  MetricsRegistry& metrics_;
  std::vector<std::pair<std::string, const HttpServer*>> listeners_;
};

}  // namespace heatherspan
