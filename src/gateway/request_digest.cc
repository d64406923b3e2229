#include "gateway/request_digest.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/params.h>

#include <array>
#include <charconv>
#include <cstring>
#include <memory>

#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr std::size_t kHexDigits = 16;
constexpr int kHexBase = 16;
// One call for a copy of all parts is faster than several, but large bodies are not copied.
constexpr std::size_t kMaxCopiedBytes = std::size_t{16} * 1024;

auto ParseHex(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, number, kHexBase);
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return number;
}

using Code = std::array<unsigned char, EVP_MAX_MD_SIZE>;
using Parts = std::initializer_list<std::string_view>;

/// HMAC() takes unsigned characters.
auto Unsigned(std::string_view text) -> const unsigned char* {
  return reinterpret_cast<const unsigned char*>(text.data());
}

auto LengthText(std::string_view part) -> std::string { return fmt::format("{}:", part.size()); }

auto CodeOfCopy(std::string_view key, Parts parts) -> Code {
  std::string bytes;
  for (const auto part : parts) bytes.append(LengthText(part)).append(part);
  Code code{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Unsigned(bytes), bytes.size(),
       code.data(), &size);
  return code;
}

auto CodeOfParts(std::string_view key, Parts parts) -> Code {
  struct Free {
    auto operator()(EVP_MAC* mac) const -> void { EVP_MAC_free(mac); }
    auto operator()(EVP_MAC_CTX* context) const -> void { EVP_MAC_CTX_free(context); }
  };
  const std::unique_ptr<EVP_MAC, Free> mac(EVP_MAC_fetch(nullptr, "HMAC", nullptr));
  const std::unique_ptr<EVP_MAC_CTX, Free> context(EVP_MAC_CTX_new(mac.get()));
  std::string name = "SHA256";
  const std::array<OSSL_PARAM, 2> parameters = {
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, name.data(), 0),
      OSSL_PARAM_construct_end()};
  EVP_MAC_init(context.get(), Unsigned(key), key.size(), parameters.data());
  for (const auto part : parts) {
    const auto length = LengthText(part);
    EVP_MAC_update(context.get(), Unsigned(length), length.size());
    EVP_MAC_update(context.get(), Unsigned(part), part.size());
  }
  Code code{};
  std::size_t size = 0;
  EVP_MAC_final(context.get(), code.data(), &size, code.size());
  return code;
}

}  // namespace

auto RequestDigest::Of(std::string_view key, std::initializer_list<std::string_view> parts)
    -> RequestDigest {
  std::size_t total = 0;
  for (const auto part : parts) total += part.size();
  const auto code = total <= kMaxCopiedBytes ? CodeOfCopy(key, parts) : CodeOfParts(key, parts);
  RequestDigest digest;
  std::memcpy(&digest.high_, code.data(), sizeof digest.high_);
  std::memcpy(&digest.low_, code.data() + sizeof digest.high_, sizeof digest.low_);
  return digest;
}

auto RequestDigest::Parse(std::string_view text) -> std::optional<RequestDigest> {
  if (text.size() != 2 * kHexDigits) return std::nullopt;
  const auto high = ParseHex(text.substr(0, kHexDigits));
  const auto low = ParseHex(text.substr(kHexDigits));
  if (!high.has_value() || !low.has_value()) return std::nullopt;
  return RequestDigest(*high, *low);
}

auto RequestDigest::Text() const -> std::string {
  return fmt::format("{:016x}{:016x}", high_, low_);
}

}  // namespace heatherspan
