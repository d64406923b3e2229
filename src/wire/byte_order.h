#pragma once

#include <concepts>
#include <cstddef>
#include <cstring>
#include <string>
#include <string_view>

namespace heatherspan {

/// Appends the number in little-endian order.
template <std::unsigned_integral Number>
auto AppendLittleEndian(Number number, std::string& out) -> void {
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    out.push_back(static_cast<char>(static_cast<unsigned char>(number >> (8 * i))));
  }
}

/// Reads a number in little-endian order; `bytes` must hold at least sizeof(Number) bytes.
template <std::unsigned_integral Number>
auto ReadLittleEndian(const char* bytes) -> Number {
  Number number = 0;
  for (std::size_t i = 0; i < sizeof(Number); ++i) {
    number = static_cast<Number>(
        number | (static_cast<Number>(static_cast<unsigned char>(bytes[i])) << (8 * i)));
  }
  return number;
}

}  // namespace heatherspan
