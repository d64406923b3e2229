#include "base/ip_block.h"

#include "absl/status/status.h"
#include "base/number_text.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr int kAddressBits = 128;
constexpr int kV4Bits = 32;

auto BitAt(const IpAddress& address, int index) -> bool {
  return ((address.bytes()[index / 8] >> (7 - index % 8)) & 1) != 0;
}

auto Malformed(std::string_view text, std::string_view expected) -> absl::Status {
  return absl::InvalidArgumentError(
      fmt::format("\"{}\" is not a block of addresses; expected {}", text, expected));
}

}  // namespace

auto IpBlock::Parse(std::string_view text) -> absl::StatusOr<IpBlock> {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return Malformed(text, "a form such as 10.1.0.0/16");
  const auto address = IpAddress::Parse(text.substr(0, slash));
  if (!address.ok()) return address.status();
  const auto number = ParseNumber<int>(text.substr(slash + 1));
  if (!number.has_value()) return Malformed(text, "a prefix length");
  const int length = *number;
  const int bits = address->is_v4() ? kV4Bits : kAddressBits;
  if (length < 0 || length > bits) {
    return Malformed(text, fmt::format("a prefix length from 0 to {}", bits));
  }
  IpBlock block;
  block.address_ = *address;
  block.length_ = length + kAddressBits - bits;
  for (int i = block.length_; i < kAddressBits; ++i) {
    if (BitAt(*address, i)) return Malformed(text, "zero bits behind the prefix");
  }
  return block;
}

auto IpBlock::Contains(const IpAddress& address) const -> bool {
  const int whole = length_ / 8;
  for (int i = 0; i < whole; ++i) {
    if (address.bytes()[i] != address_.bytes()[i]) return false;
  }
  for (int i = whole * 8; i < length_; ++i) {
    if (BitAt(address, i) != BitAt(address_, i)) return false;
  }
  return true;
}

auto IpBlock::Text() const -> std::string {
  const int length = address_.is_v4() ? length_ - (kAddressBits - kV4Bits) : length_;
  return fmt::format("{}/{}", address_.Text(), length);
}

}  // namespace heatherspan
