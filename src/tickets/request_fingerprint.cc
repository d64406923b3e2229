#include "tickets/request_fingerprint.h"

#include <openssl/sha.h>

#include <string>

#include "fmt/format.h"

namespace heatherspan {

auto FingerprintRequest(std::string_view method, const ServiceName& service, std::string_view path,
                        std::string_view body) -> RequestFingerprint {
  std::string bytes;
  for (const std::string_view part : {method, std::string_view(service.value()), path, body}) {
    bytes += fmt::format("{}:", part.size());
    bytes += part;
  }
  RequestFingerprint fingerprint{};
  // SHA256() takes unsigned characters.
  const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
  SHA256(data, bytes.size(), fingerprint.data());
  return fingerprint;
}

}  // namespace heatherspan
