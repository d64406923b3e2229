#pragma once

#include <mutex>
#include <streambuf>
#include <string>

namespace heatherspan {

/// Stores the text written to a stream. Thread-safe.
class LogCapture : public std::streambuf {
 public:
  auto Text() const -> std::string {
    const std::lock_guard lock(mutex_);
    return text_;
  }
  auto Contains(const std::string& part) const -> bool {
    return Text().find(part) != std::string::npos;
  }

 protected:
  auto overflow(int_type c) -> int_type override {
    const std::lock_guard lock(mutex_);
    text_ += traits_type::to_char_type(c);
    return c;
  }
  auto xsputn(const char* bytes, std::streamsize count) -> std::streamsize override {
    const std::lock_guard lock(mutex_);
    text_.append(bytes, static_cast<std::size_t>(count));
    return count;
  }

 private:
  mutable std::mutex mutex_;
  std::string text_;
};

}  // namespace heatherspan
