#include "net/message_body.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>

namespace heatherspan {

ByteBuffer::~ByteBuffer() { std::free(data_); }

auto ByteBuffer::Reserve(std::size_t capacity) -> void {
  if (capacity <= capacity_) return;
  auto* const data = static_cast<char*>(std::realloc(data_, capacity));
  if (data == nullptr) throw std::bad_alloc();
  data_ = data;
  capacity_ = capacity;
}

auto ByteBuffer::Append(std::string_view bytes) -> void {
  if (bytes.empty()) return;
  if (bytes.size() > capacity_ - size_) {
    // Pages that are not written yet take no memory.
    Reserve(std::max(size_ + bytes.size(), capacity_ + capacity_ / 2));
  }
  std::memcpy(data_ + size_, bytes.data(), bytes.size());
  size_ += bytes.size();
}

MessageBody::MessageBody(std::string_view text) {
  if (text.empty()) return;
  ByteBuffer bytes;
  bytes.Reserve(text.size());
  bytes.Append(text);
  *this = MessageBody(std::move(bytes), {});
}

MessageBody::MessageBody(ByteBuffer bytes, HeldMemory held) {
  if (bytes.size() == 0) return;
  content_ = std::make_shared<const Content>(Content{std::move(bytes), std::move(held)});
}

}  // namespace heatherspan
