#include "toml_table/printable_text.h"

#include <array>
#include <cstdint>

namespace heatherspan {
namespace {

/// A form of UTF-8 sequences: their length, the bits of the first byte, and the smallest code point
/// that needs this length.
struct Utf8Form {
  std::uint8_t mask;
  std::uint8_t pattern;
  std::size_t length;
  std::uint32_t min_code_point;
};

constexpr std::array<Utf8Form, 4> kUtf8Forms = {{{0x80, 0x00, 1, 0x0},
                                                 {0xe0, 0xc0, 2, 0x80},
                                                 {0xf0, 0xe0, 3, 0x800},
                                                 {0xf8, 0xf0, 4, 0x10000}}};

auto IsPrintable(std::uint32_t code_point) -> bool {
  // U+007F to U+009F are control characters, which some terminals interpret.
  const bool control = code_point < 0x20 || (code_point >= 0x7f && code_point < 0xa0);
  const bool surrogate = code_point >= 0xd800 && code_point < 0xe000;
  return !control && !surrogate && code_point <= 0x10ffff;
}

/// Returns the length of the printable character at the start of the text; zero if there is none.
auto PrintableLength(std::string_view text) -> std::size_t {
  const auto byte = [text](std::size_t i) { return static_cast<std::uint8_t>(text[i]); };
  for (const auto& form : kUtf8Forms) {
    if ((byte(0) & form.mask) != form.pattern) continue;
    if (text.size() < form.length) return 0;
    std::uint32_t code_point = byte(0) & static_cast<std::uint8_t>(~form.mask);
    for (std::size_t i = 1; i < form.length; ++i) {
      if ((byte(i) & 0xc0) != 0x80) return 0;
      code_point = code_point << 6 | (byte(i) & 0x3f);
    }
    return code_point >= form.min_code_point && IsPrintable(code_point) ? form.length : 0;
  }
  return 0;
}

}  // namespace

auto IsPrintableLine(std::string_view text) -> bool {
  while (!text.empty()) {
    const auto length = PrintableLength(text);
    if (length == 0) return false;
    text.remove_prefix(length);
  }
  return true;
}

auto PrintableLine(std::string_view text) -> std::string {
  std::string line;
  line.reserve(text.size());
  while (!text.empty()) {
    const auto length = PrintableLength(text);
    if (length == 0) {
      line += '?';
    } else {
      line += text.substr(0, length);
    }
    text.remove_prefix(length == 0 ? 1 : length);
  }
  return line;
}

}  // namespace heatherspan
