#include "base/ip_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstring>

#include "absl/status/status.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr std::array<std::uint8_t, 12> kMappedPrefix = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

}  // namespace

auto IpAddress::Parse(std::string_view text) -> absl::StatusOr<IpAddress> {
  const std::string copy(text);
  IpAddress address;
  if (in_addr v4{}; inet_pton(AF_INET, copy.c_str(), &v4) == 1) {
    std::copy(kMappedPrefix.begin(), kMappedPrefix.end(), address.bytes_.begin());
    std::memcpy(address.bytes_.data() + kMappedPrefix.size(), &v4, sizeof v4);
    return address;
  }
  if (inet_pton(AF_INET6, copy.c_str(), address.bytes_.data()) == 1) return address;
  return absl::InvalidArgumentError(
      fmt::format("\"{}\" is not an IP address; expected a form such as 192.0.2.7", text));
}

auto IpAddress::is_v4() const -> bool {
  return std::equal(kMappedPrefix.begin(), kMappedPrefix.end(), bytes_.begin());
}

auto IpAddress::Text() const -> std::string {
  std::array<char, INET6_ADDRSTRLEN> buffer{};
  if (is_v4()) {
    inet_ntop(AF_INET, bytes_.data() + kMappedPrefix.size(), buffer.data(), buffer.size());
  } else {
    inet_ntop(AF_INET6, bytes_.data(), buffer.data(), buffer.size());
  }
  return buffer.data();
}

}  // namespace heatherspan
