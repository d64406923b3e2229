#include "tickets/ticket_codec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <utility>

#include "absl/status/status.h"
#include "fmt/format.h"
#include "tickets/url_base64.h"

namespace heatherspan {
namespace {

constexpr char kFormatVersion = 1;
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kFixedFieldBytes = 1 + 3 * kNumberBytes;
// The HMAC is truncated to 128 bits, like that of the envelope of peer messages.
constexpr std::size_t kMacBytes = 16;
constexpr std::size_t kMaxBytes = kFixedFieldBytes + TicketCodec::kMaxNameBytes + kMacBytes;
constexpr std::size_t kMaxTextBytes = (kMaxBytes * 4 + 2) / 3;
// Domain separation from other uses of the key.
constexpr std::string_view kMacDomainPrefix = "heatherspan-ticket:";

auto AppendNumber(std::string& bytes, std::uint64_t number) -> void {
  for (int shift = 56; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>((number >> shift) & 0xff));
  }
}

auto ReadNumber(std::string_view bytes, std::size_t offset) -> std::uint64_t {
  std::uint64_t number = 0;
  for (const char c : bytes.substr(offset, kNumberBytes)) {
    number = (number << 8) | static_cast<std::uint8_t>(c);
  }
  return number;
}

auto ComputeMac(const std::string& key, std::string_view fields) -> std::string {
  const std::string input = std::string(kMacDomainPrefix).append(fields);
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data(), &size);
  return std::string(digest.begin(), digest.begin() + kMacBytes);
}

auto InvalidTicket(const std::string& message) -> absl::Status {
  return absl::InvalidArgumentError("ticket " + message);
}

}  // namespace

TicketCodec::TicketCodec(std::string key, InstanceId self, const NodeName& name)
    : key_(std::move(key)), self_(self), name_(name.value().substr(0, kMaxNameBytes)) {}

auto TicketCodec::Issue(MonotonicTime now, Random& random) const -> std::string {
  std::string bytes(1, kFormatVersion);
  AppendNumber(bytes, self_.value());
  AppendNumber(bytes, static_cast<std::uint64_t>(now.time_since_epoch().count()));
  AppendNumber(bytes, random());
  bytes += name_.value();
  bytes += ComputeMac(key_, bytes);
  return EncodeUrlBase64(bytes);
}

auto TicketCodec::Parse(std::string_view text) const -> absl::StatusOr<Ticket> {
  if (text.size() > kMaxTextBytes) {
    return InvalidTicket(
        fmt::format("has {} characters; the maximum is {}", text.size(), kMaxTextBytes));
  }
  const auto decoded = DecodeUrlBase64(text);
  if (!decoded.has_value()) return InvalidTicket("is not URL-safe base64 without padding");
  const std::string_view bytes = *decoded;
  if (bytes.size() < kFixedFieldBytes + kMacBytes) {
    return InvalidTicket(
        fmt::format("has {} bytes; the minimum is {}", bytes.size(), kFixedFieldBytes + kMacBytes));
  }
  const auto fields = bytes.substr(0, bytes.size() - kMacBytes);
  const auto mac = bytes.substr(fields.size());
  if (CRYPTO_memcmp(ComputeMac(key_, fields).data(), mac.data(), kMacBytes) != 0) {
    return InvalidTicket("has an invalid HMAC; the ticket was altered or issued with another key");
  }
  if (fields.front() != kFormatVersion) {
    return InvalidTicket(fmt::format("has format version {}; only version {} is supported",
                                     static_cast<int>(fields.front()),
                                     static_cast<int>(kFormatVersion)));
  }
  Ticket ticket;
  ticket.owner = InstanceId(ReadNumber(fields, 1));
  ticket.issued =
      MonotonicTime(Duration(static_cast<std::int64_t>(ReadNumber(fields, 1 + kNumberBytes))));
  ticket.nonce = ReadNumber(fields, 1 + 2 * kNumberBytes);
  ticket.owner_name = NodeName(std::string(fields.substr(kFixedFieldBytes)));
  return ticket;
}

}  // namespace heatherspan
