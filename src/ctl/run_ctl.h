#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ctl/admin_transport.h"
#include "ctl/command_line.h"
#include "ctl/ctl_commands.h"

namespace heatherspan {

/// Runs heatherspanctl with the arguments behind its name.
template <AdminTransport Transport>
auto RunCtl(const std::vector<std::string>& arguments, CtlContext& context, Transport& transport)
    -> ExitCode {
  auto parsed = ParseCommandLine(arguments, context);
  if (const auto* code = std::get_if<ExitCode>(&parsed)) return *code;
  auto& options = std::get<CtlOptions>(parsed);
  const auto send = [&transport](const Endpoint& endpoint, HttpRequest request) {
    return transport.Send(endpoint, std::move(request));
  };
  AdminClient client(send, options.servers, context.credential);
  return CtlCommands(std::move(options), context, std::move(client)).Run();
}

}  // namespace heatherspan
