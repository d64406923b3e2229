#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace heatherspan {

/// Computes the size of a message in cereal's binary format without encoding the message. A number
/// takes its width. A string or vector is preceded by a length of 8 bytes.
class SizeArchive {
 public:
  template <class... Values>
  auto operator()(Values&... values) -> void {
    (Add(values), ...);
  }
  auto size() const -> std::size_t { return size_; }

 private:
  static constexpr std::size_t kLengthBytes = 8;

  template <class Value>
  auto Add(std::vector<Value>& values) -> void {
    size_ += kLengthBytes;
    for (auto& value : values) Add(value);
  }

  template <class Value>
  auto Add(Value& value) -> void {
    if constexpr (std::is_arithmetic_v<Value> || std::is_enum_v<Value>) {
      size_ += sizeof(Value);
    } else if constexpr (std::is_same_v<Value, std::string>) {
      size_ += kLengthBytes + value.size();
    } else {
      value.serialize(*this);
    }
  }

  std::size_t size_ = 0;
};

/// Returns the encoded size in bytes of a message or of a part of a message.
template <class Message>
auto EncodedSize(const Message& message) -> std::size_t {
  SizeArchive archive;
  // serialize() is not const because it also decodes messages. SizeArchive modifies nothing.
  archive(const_cast<Message&>(message));
  return archive.size();
}

}  // namespace heatherspan
