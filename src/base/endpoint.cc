#include "base/endpoint.h"

#include "absl/status/status.h"
#include "base/ip_address.h"
#include "base/number_text.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

auto Malformed(std::string_view text) -> absl::Status {
  return absl::InvalidArgumentError(
      fmt::format("\"{}\" is not an address with a port; expected a form such as 192.0.2.7:8080 or "
                  "[2001:db8::1]:8080",
                  text));
}

}  // namespace

auto Endpoint::Parse(std::string_view text) -> absl::StatusOr<Endpoint> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return Malformed(text);
  auto host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  const auto address = IpAddress::Parse(host);
  if (!address.ok() || address->is_v4() == bracketed) return Malformed(text);
  const auto port = ParseNumber<std::uint16_t>(text.substr(colon + 1));
  if (!port.has_value()) return Malformed(text);
  return Endpoint{std::string(host), *port};
}

auto Endpoint::Text() const -> std::string {
  const bool is_v6 = address.find(':') != std::string::npos;
  return is_v6 ? fmt::format("[{}]:{}", address, port) : fmt::format("{}:{}", address, port);
}

}  // namespace heatherspan
