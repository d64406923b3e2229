#include "tickets/url_base64.h"

#include <array>
#include <cstdint>

namespace heatherspan {
namespace {

constexpr std::string_view kAlphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr int kBitsPerCharacter = 6;
constexpr std::uint32_t kCharacterMask = 63;

}  // namespace

auto EncodeUrlBase64(std::string_view bytes) -> std::string {
  std::string text;
  std::uint32_t pending = 0;
  int pending_bits = 0;
  for (const char c : bytes) {
    pending = (pending << 8) | static_cast<std::uint8_t>(c);
    pending_bits += 8;
    while (pending_bits >= kBitsPerCharacter) {
      pending_bits -= kBitsPerCharacter;
      text.push_back(kAlphabet[(pending >> pending_bits) & kCharacterMask]);
    }
  }
  if (pending_bits > 0) {
    text.push_back(kAlphabet[(pending << (kBitsPerCharacter - pending_bits)) & kCharacterMask]);
  }
  return text;
}

auto DecodeUrlBase64(std::string_view text) -> std::optional<std::string> {
  std::string bytes;
  std::uint32_t pending = 0;
  int pending_bits = 0;
  for (const char c : text) {
    const auto value = kAlphabet.find(c);
    if (value == std::string_view::npos) return std::nullopt;
    pending = (pending << kBitsPerCharacter) | static_cast<std::uint32_t>(value);
    pending_bits += kBitsPerCharacter;
    if (pending_bits >= 8) {
      pending_bits -= 8;
      bytes.push_back(static_cast<char>((pending >> pending_bits) & 0xff));
    }
  }
  const std::uint32_t unused_bits = pending & ((1U << pending_bits) - 1);
  if (pending_bits >= kBitsPerCharacter || unused_bits != 0) return std::nullopt;
  return bytes;
}

}  // namespace heatherspan
