#pragma once

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace heatherspan {

class ConnectionMemory;

/// The bytes that a connection of a server has read from its socket and not used yet.
class ConnectionInput {
 public:
  /// Holds the usual request in one read; larger ones let the buffer grow.
  static constexpr std::size_t kInitialBytes = std::size_t{4} * 1024;
  /// Long bodies are read in pieces of this size.
  static constexpr std::size_t kMaxPieceBytes = std::size_t{64} * 1024;

  explicit ConnectionInput(ConnectionMemory& memory);

  auto size() const -> std::size_t { return end_ - begin_; }
  auto empty() const -> bool { return begin_ == end_; }
  auto unused() const -> std::string_view { return {buffer_.data() + begin_, size()}; }
  auto Use(std::size_t size) -> void { begin_ += size; }
  auto Clear() -> void { begin_ = end_ = 0; }

  /// Space for the next read, never empty. `may_shrink`: no message has begun.
  auto Space(bool may_shrink) -> std::span<char>;
  /// So many bytes were read into the space.
  auto OnRead(std::size_t size) -> void;

 private:
  auto MakeRoom(bool may_shrink) -> void;

  ConnectionMemory& memory_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0;  ///< Start of the bytes that are not used yet.
  std::size_t end_ = 0;
};

}  // namespace heatherspan
