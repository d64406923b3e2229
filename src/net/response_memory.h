#pragma once

#include <algorithm>
#include <atomic>
#include <cstddef>

namespace heatherspan {

/// Bounds the memory of all responses that a client is reading. Above the bound, those that are
/// larger than an equal part are given up, so that small ones are read beside large ones.
/// Thread-safe.
class ResponseMemory {
 public:
  explicit ResponseMemory(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  auto max_bytes() const -> std::size_t { return max_bytes_; }
  auto total() const -> std::size_t { return total_.load(); }
  /// The memory of one response has changed. Returns false if the response has to be given up.
  auto Change(std::size_t before, std::size_t after) -> bool {
    if (before == 0 && after > 0) responses_.fetch_add(1);
    if (before > 0 && after == 0) responses_.fetch_sub(1);
    total_.fetch_add(after - before);
    return total_.load() <= max_bytes_ ||
           after <= max_bytes_ / std::max<std::size_t>(1, responses_.load());
  }

 private:
  const std::size_t max_bytes_;
  std::atomic<std::size_t> total_{0};
  std::atomic<std::size_t> responses_{0};
};

}  // namespace heatherspan
