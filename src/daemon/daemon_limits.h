#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "platform/platform_caller.h"
#include "settings/settings.h"
#include "tickets/ticket_limits.h"

namespace heatherspan {

/// The limits and options of the daemon's components, read from the settings.
auto CallerLimits(const Settings& settings) -> HttpServer::Limits;
auto AdminLimits() -> HttpServer::Limits;
auto TargetLimits(const Settings& settings) -> HttpClient::Limits;
auto TicketLimitsOf(const Settings& settings) -> TicketLimits;
auto PlatformOptions(const Settings& settings) -> PlatformCaller::Options;

}  // namespace heatherspan
