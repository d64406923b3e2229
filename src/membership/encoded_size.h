#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

namespace heatherspan {

/// An archive that only adds up the size of a message in cereal's binary form: numbers by their
/// width, and strings and vectors with a length of 8 bytes.
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

/// The encoded size of a message or a part of one.
template <class Message>
auto EncodedSize(const Message& message) -> std::size_t {
  SizeArchive archive;
  // serialize() also reads messages and is therefore not const; this archive changes nothing.
  archive(const_cast<Message&>(message));
  return archive.size();
}

}  // namespace heatherspan
