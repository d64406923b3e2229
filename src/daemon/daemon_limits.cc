#include "daemon/daemon_limits.h"

#include <cstddef>
#include <string>

#include "daemon/header_names.h"

namespace heatherspan {

auto CallerLimits(const Settings& settings) -> HttpServer::Limits {
  HttpServer::Limits limits;
  limits.max_header_bytes = static_cast<std::size_t>(settings.limits.max_header_bytes);
  limits.max_body_bytes = static_cast<std::size_t>(settings.limits.max_body_bytes);
  limits.max_connections = static_cast<std::size_t>(settings.limits.max_connections);
  limits.request_timeout = settings.limits.request_timeout;
  limits.body_timeout = settings.limits.request_timeout;
  return limits;
}

auto AdminLimits() -> HttpServer::Limits {
  HttpServer::Limits limits;
  // Sufficient for a document with 110,000 client blocks.
  limits.max_body_bytes = std::size_t{16} * 1024 * 1024;
  limits.max_connections = 64;
  return limits;
}

auto TargetLimits(const Settings& settings) -> HttpClient::Limits {
  HttpClient::Limits limits;
  limits.max_response_bytes = static_cast<std::size_t>(settings.limits.max_response_bytes);
  limits.correlation_header = std::string(kRequestIdHeader);
  return limits;
}

auto TicketLimitsOf(const Settings& settings) -> TicketLimits {
  TicketLimits limits;
  limits.max_records = static_cast<std::size_t>(settings.limits.ticket_records);
  return limits;
}

auto PlatformOptions(const Settings& settings) -> PlatformCaller::Options {
  PlatformCaller::Options options;
  options.endpoint = settings.platform;
  return options;
}

}  // namespace heatherspan
