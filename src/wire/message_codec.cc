#include "wire/message_codec.h"

#include <algorithm>
#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <exception>
#include <type_traits>
#include <variant>
#include <vector>

#include "base/reason.h"
#include "base/verdict.h"
#include "fmt/format.h"
#include "wire/byte_order.h"

namespace heatherspan {
namespace {

// No valid message has more elements in one list. The limit bounds the memory for a list of empty
// elements, each of which takes one byte in a message.
constexpr std::size_t kMaxElements = 65'536;
constexpr unsigned kSizeBitsPerByte = 7;
constexpr unsigned kMaxSizeBits = 35;

template <class Number>
concept FixedNumber =
    std::is_arithmetic_v<Number> && !std::is_same_v<Number, bool> && sizeof(Number) <= 8;

/// The unsigned integer type of the given size in bytes.
template <std::size_t size>
using UnsignedOf = std::conditional_t<
    size == 1, std::uint8_t,
    std::conditional_t<size == 2, std::uint16_t,
                       std::conditional_t<size == 4, std::uint32_t, std::uint64_t>>>;

/// Writes numbers in little-endian order and lengths as variable-length integers with 7 bits per
/// byte.
class OutputArchive : public cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit OutputArchive(std::string& out)
      : cereal::OutputArchive<OutputArchive, cereal::AllowEmptyClassElision>(this), out_(out) {}

  template <FixedNumber Number>
  auto WriteNumber(Number number) -> void {
    AppendLittleEndian(std::bit_cast<UnsignedOf<sizeof(Number)>>(number), out_);
  }

  auto WriteSize(std::uint64_t size) -> void {
    for (; size >= 0x80; size >>= kSizeBitsPerByte) {
      out_.push_back(static_cast<char>((size & 0x7f) | 0x80));
    }
    out_.push_back(static_cast<char>(size));
  }

  auto WriteBytes(const void* bytes, std::size_t size) -> void {
    out_.append(static_cast<const char*>(bytes), size);
  }

 private:
  std::string& out_;
};

/// Reads the format of OutputArchive. Throws cereal::Exception, as the archives of cereal do;
/// Decode converts the exception to a status.
class InputArchive : public cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit InputArchive(std::string_view input)
      : cereal::InputArchive<InputArchive, cereal::AllowEmptyClassElision>(this), input_(input) {}

  auto remaining() const -> std::size_t { return input_.size(); }

  template <FixedNumber Number>
  auto ReadNumber() -> Number {
    const auto bytes = Take(sizeof(Number));
    return std::bit_cast<Number>(ReadLittleEndian<UnsignedOf<sizeof(Number)>>(bytes.data()));
  }

  auto ReadBool() -> bool {
    const auto byte = ReadNumber<std::uint8_t>();
    if (byte > 1) throw cereal::Exception("a boolean value is neither 0 nor 1");
    return byte == 1;
  }

  /// Each element takes at least one byte, so a valid length does not exceed the remaining bytes.
  auto ReadSize() -> std::size_t {
    std::uint64_t size = 0;
    for (unsigned shift = 0; shift < kMaxSizeBits; shift += kSizeBitsPerByte) {
      const auto byte = ReadNumber<std::uint8_t>();
      size |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if ((byte & 0x80) != 0) continue;
      if (size > remaining()) {
        throw cereal::Exception(
            fmt::format("a length of {} exceeds the {} remaining bytes", size, remaining()));
      }
      return static_cast<std::size_t>(size);
    }
    throw cereal::Exception("the encoding of a length is too long");
  }

  auto ReadBytes(void* bytes, std::size_t size) -> void {
    const auto source = Take(size);
    std::copy(source.begin(), source.end(), static_cast<char*>(bytes));
  }

 private:
  auto Take(std::size_t size) -> std::string_view {
    if (size > input_.size()) {
      throw cereal::Exception(
          fmt::format("truncated: {} bytes expected, {} remain", size, input_.size()));
    }
    const auto taken = input_.substr(0, size);
    input_.remove_prefix(size);
    return taken;
  }

  std::string_view input_;
};

}  // namespace
}  // namespace heatherspan

CEREAL_SETUP_ARCHIVE_TRAITS(heatherspan::InputArchive, heatherspan::OutputArchive)

namespace heatherspan {
namespace {

// cereal finds the functions below by their names.
// NOLINTBEGIN(readability-identifier-naming)

template <FixedNumber Number>
auto CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const Number& number) -> void {
  archive.WriteNumber(number);
}

template <FixedNumber Number>
auto CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, Number& number) -> void {
  number = archive.ReadNumber<Number>();
}

auto CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const bool& value) -> void {
  archive.WriteNumber(static_cast<std::uint8_t>(value ? 1 : 0));
}

auto CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, bool& value) -> void {
  value = archive.ReadBool();
}

template <class Size>
auto CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::SizeTag<Size>& tag) -> void {
  archive.WriteSize(tag.size);
}

template <class Size>
auto CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::SizeTag<Size>& tag) -> void {
  tag.size = archive.ReadSize();
}

template <class Data>
auto CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::BinaryData<Data>& data)
    -> void {
  archive.WriteBytes(data.data, static_cast<std::size_t>(data.size));
}

template <class Data>
auto CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::BinaryData<Data>& data) -> void {
  archive.ReadBytes(data.data, static_cast<std::size_t>(data.size));
}

template <class Value>
auto CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const cereal::NameValuePair<Value>& pair)
    -> void {
  archive(pair.value);
}

template <class Value>
auto CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, cereal::NameValuePair<Value>& pair) -> void {
  archive(pair.value);
}

template <class Element>
auto CEREAL_SAVE_FUNCTION_NAME(OutputArchive& archive, const std::vector<Element>& elements)
    -> void {
  archive.WriteSize(elements.size());
  for (const auto& element : elements) archive(element);
}

/// Replaces the function of cereal, which allocates all elements before it reads the first one.
/// Here memory grows with the input that has been read.
template <class Element>
auto CEREAL_LOAD_FUNCTION_NAME(InputArchive& archive, std::vector<Element>& elements) -> void {
  const auto size = archive.ReadSize();
  if (size > kMaxElements) {
    throw cereal::Exception(
        fmt::format("a list has {} elements; at most {} are allowed", size, kMaxElements));
  }
  elements.clear();
  for (std::size_t i = 0; i < size; ++i) archive(elements.emplace_back());
}

// NOLINTEND(readability-identifier-naming)

/// cereal accepts any number for an enumeration. Values without an enumerator would index tables
/// out of bounds.
auto CheckVerdict(Verdict verdict, Reason reason) -> absl::Status {
  const auto reason_number = static_cast<std::size_t>(reason);
  if (reason_number < AllReasons().size() && verdict >= Verdict::kNotRun &&
      verdict <= Verdict::kRan) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(fmt::format(
      "verdict {} with reason {} is unknown", static_cast<int>(verdict), static_cast<int>(reason)));
}

auto CheckUpdates(const std::vector<MemberUpdate>& updates) -> absl::Status {
  for (const auto& update : updates) {
    if (update.state > MemberState::kDead) {
      return absl::InvalidArgumentError(
          fmt::format("member state {} is unknown", static_cast<int>(update.state)));
    }
  }
  return absl::OkStatus();
}

template <class Message>
auto CheckEnumerations(const Message& message) -> absl::Status {
  if constexpr (requires { message.updates; }) {
    return CheckUpdates(message.updates);
  } else if constexpr (requires { message.verdict; }) {
    return CheckVerdict(message.verdict, message.reason);
  } else {
    return absl::OkStatus();
  }
}

template <class Message>
auto Append(const Message& message, std::string& out) -> void {
  OutputArchive archive(out);
  archive(message);
}

template <class Message>
auto Decode(std::string_view payload, std::size_t max_bytes) -> absl::StatusOr<Message> {
  if (payload.size() > max_bytes) {
    return absl::InvalidArgumentError(
        fmt::format("a message has {} bytes; at most {} are allowed", payload.size(), max_bytes));
  }
  Message message;
  try {
    InputArchive archive(payload);
    archive(message);
    if (archive.remaining() > 0) {
      return absl::InvalidArgumentError(
          fmt::format("{} trailing bytes after the message", archive.remaining()));
    }
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(fmt::format("malformed message: {}", error.what()));
  }
  auto status = std::visit([](const auto& kind) { return CheckEnumerations(kind); }, message);
  if (!status.ok()) return status;
  return message;
}

}  // namespace

auto AppendMessage(const Datagram& datagram, std::string& out) -> void { Append(datagram, out); }
auto AppendMessage(const PeerRequest& request, std::string& out) -> void { Append(request, out); }
auto AppendMessage(const PeerResponse& response, std::string& out) -> void {
  Append(response, out);
}

auto DecodeDatagram(std::string_view payload) -> absl::StatusOr<Datagram> {
  return Decode<Datagram>(payload, kMaxDatagramBytes - kEnvelopeBytes);
}

auto DecodePeerRequest(std::string_view payload) -> absl::StatusOr<PeerRequest> {
  return Decode<PeerRequest>(payload, kMaxFrameBytes);
}

auto DecodePeerResponse(std::string_view payload) -> absl::StatusOr<PeerResponse> {
  return Decode<PeerResponse>(payload, kMaxFrameBytes);
}

auto SealDatagram(const AuthenticationKey& key, InstanceId sender, std::uint64_t sequence,
                  const Datagram& datagram) -> absl::StatusOr<std::string> {
  auto buffer = BeginEnvelope();
  AppendMessage(datagram, buffer);
  const auto size = buffer.size() + std::tuple_size_v<AuthenticationTag>;
  if (size > kMaxDatagramBytes) {
    return absl::InvalidArgumentError(
        fmt::format("a datagram has {} bytes; at most {} are allowed", size, kMaxDatagramBytes));
  }
  SealEnvelope(key, sender, sequence, buffer);
  return buffer;
}

}  // namespace heatherspan
