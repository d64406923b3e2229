#pragma once

#include <concepts>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "net/memory_account.h"

namespace heatherspan {

/// Bytes that grow at their end. Large buffers grow without being copied: the allocator moves their
/// pages.
class ByteBuffer {
 public:
  ByteBuffer() = default;
  ~ByteBuffer();
  ByteBuffer(ByteBuffer&& other) noexcept
      : data_(std::exchange(other.data_, nullptr)),
        size_(std::exchange(other.size_, 0)),
        capacity_(std::exchange(other.capacity_, 0)) {}
  auto operator=(ByteBuffer&& other) noexcept -> ByteBuffer& {
    std::swap(data_, other.data_);
    std::swap(size_, other.size_);
    std::swap(capacity_, other.capacity_);
    return *this;
  }

  auto Reserve(std::size_t capacity) -> void;
  auto Append(std::string_view bytes) -> void;
  auto size() const -> std::size_t { return size_; }
  auto view() const -> std::string_view { return {data_, size_}; }

 private:
  char* data_ = nullptr;
  std::size_t size_ = 0;
  std::size_t capacity_ = 0;
};

/// The body of a request. Copies share the bytes, so that a request that is passed on or kept for a
/// retry takes no more memory.
class MessageBody {
 public:
  MessageBody() = default;
  MessageBody(std::string_view text);   // NOLINT(google-explicit-constructor)
  MessageBody(const std::string& text)  // NOLINT(google-explicit-constructor)
      : MessageBody(std::string_view(text)) {}
  MessageBody(const char* text)  // NOLINT(google-explicit-constructor)
      : MessageBody(std::string_view(text)) {}
  /// `held`: what the bytes take of an account, until the last copy is gone.
  MessageBody(ByteBuffer bytes, HeldMemory held);

  auto view() const -> std::string_view {
    return content_ == nullptr ? std::string_view() : content_->bytes.view();
  }
  operator std::string_view() const { return view(); }  // NOLINT(google-explicit-constructor)
  auto size() const -> std::size_t { return view().size(); }
  auto empty() const -> bool { return view().empty(); }
  auto data() const -> const char* { return view().data(); }

  auto text() const -> std::string { return std::string(view()); }

  friend auto operator==(const MessageBody& one, const MessageBody& other) -> bool {
    return one.view() == other.view();
  }
  template <std::convertible_to<std::string_view> Text>
  friend auto operator==(const MessageBody& one, const Text& other) -> bool {
    return one.view() == std::string_view(other);
  }

 private:
  struct Content {
    ByteBuffer bytes;
    HeldMemory held;
  };

  std::shared_ptr<const Content> content_;
};

}  // namespace heatherspan
