#include "toml_table/nesting_check.h"

#include <string>

namespace heatherspan {
namespace {

constexpr int kMaxBrackets = 16;
constexpr int kMaxKeyParts = 16;

/// Counts open brackets and the dots of keys; skips strings and comments by the rules of TOML.
class NestingScanner {
 public:
  explicit NestingScanner(std::string_view text) : text_(text) {}

  auto Run() -> std::optional<TomlPosition> {
    while (index_ < text_.size()) {
      Step();
      if (brackets_ > kMaxBrackets || dots_ > kMaxKeyParts) {
        return TomlPosition{line_, static_cast<int>(index_ - line_start_)};
      }
    }
    return std::nullopt;
  }

 private:
  auto Step() -> void {
    const char c = text_[index_];
    if (c == '"' || c == '\'') {
      SkipString(c);
      return;
    }
    if (c == '#') {
      const auto end = text_.find('\n', index_);
      index_ = end == std::string_view::npos ? text_.size() : end;
      return;
    }
    ++index_;
    if (c == '.') ++dots_;
    if (c == '[' || c == '{') ++brackets_;
    if ((c == ']' || c == '}') && brackets_ > 0) --brackets_;
    if (std::string_view(",={}[]\n").find(c) != std::string_view::npos) dots_ = 0;
    if (c == '\n') CountLine(index_);
  }

  auto SkipString(char quote) -> void {
    const std::string triple(3, quote);
    const bool multiline = text_.substr(index_, 3) == triple;
    index_ += multiline ? 3 : 1;
    while (index_ < text_.size()) {
      const char c = text_[index_];
      if (c == '\\' && quote == '"') {
        index_ += 2;
        continue;
      }
      if (!multiline && c == '\n') return;
      if (c == '\n') CountLine(index_ + 1);
      if (multiline && text_.substr(index_, 3) == triple) {
        index_ += 3;
        // One or two quotes may stand directly before the closing delimiter.
        while (index_ < text_.size() && text_[index_] == quote) ++index_;
        return;
      }
      ++index_;
      if (!multiline && c == quote) return;
    }
  }

  auto CountLine(std::size_t start) -> void {
    ++line_;
    line_start_ = start;
  }

  std::string_view text_;
  std::size_t index_ = 0;
  std::size_t line_start_ = 0;
  int line_ = 1;
  int brackets_ = 0;
  int dots_ = 0;
};

}  // namespace

auto FindDeepNesting(std::string_view text) -> std::optional<TomlPosition> {
  return NestingScanner(text).Run();
}

}  // namespace heatherspan
