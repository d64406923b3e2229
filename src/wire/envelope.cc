#include "wire/envelope.h"

#include "fmt/format.h"
#include "wire/byte_order.h"

namespace heatherspan {
namespace {

constexpr std::string_view kMagic = "HSPN";
constexpr std::size_t kVersionOffset = 4;
constexpr std::size_t kSenderOffset = 5;
constexpr std::size_t kSequenceOffset = 13;
constexpr std::size_t kLengthOffset = 21;

}  // namespace

auto BeginEnvelope() -> std::string { return std::string(kEnvelopeHeaderBytes, '\0'); }

auto SealEnvelope(const AuthenticationKey& key, InstanceId sender, std::uint64_t sequence,
                  std::string& buffer) -> void {
  std::string header(kMagic);
  header.push_back(static_cast<char>(kWireVersion));
  AppendLittleEndian(sender.value(), header);
  AppendLittleEndian(sequence, header);
  AppendLittleEndian(static_cast<std::uint32_t>(buffer.size() - kEnvelopeHeaderBytes), header);
  buffer.replace(0, kEnvelopeHeaderBytes, header);
  const auto tag = key.Sign(buffer);
  buffer.append(tag.data(), tag.size());
}

auto ReadEnvelopeHeader(std::string_view bytes) -> absl::StatusOr<EnvelopeHeader> {
  if (bytes.size() < kEnvelopeHeaderBytes) {
    return absl::InvalidArgumentError(fmt::format("the envelope has {} bytes; expected at least {}",
                                                  bytes.size(), kEnvelopeHeaderBytes));
  }
  if (bytes.substr(0, kMagic.size()) != kMagic) {
    return absl::InvalidArgumentError("the envelope does not start with the magic \"HSPN\"");
  }
  const auto version = static_cast<std::uint8_t>(bytes[kVersionOffset]);
  if (version != kWireVersion) {
    return absl::InvalidArgumentError(
        fmt::format("the envelope has format version {}; expected {}", version, kWireVersion));
  }
  return EnvelopeHeader{
      .sender = InstanceId(ReadLittleEndian<std::uint64_t>(bytes.data() + kSenderOffset)),
      .sequence = ReadLittleEndian<std::uint64_t>(bytes.data() + kSequenceOffset),
      .payload_bytes = ReadLittleEndian<std::uint32_t>(bytes.data() + kLengthOffset)};
}

auto OpenEnvelope(const AuthenticationKey& key, std::string_view bytes)
    -> absl::StatusOr<OpenedEnvelope> {
  const auto header = ReadEnvelopeHeader(bytes);
  if (!header.ok()) return header.status();
  if (bytes.size() != header->payload_bytes + kEnvelopeBytes) {
    return absl::InvalidArgumentError(
        fmt::format("the envelope has {} bytes; its header gives a length of {}", bytes.size(),
                    header->payload_bytes + kEnvelopeBytes));
  }
  const auto signed_bytes = bytes.substr(0, kEnvelopeHeaderBytes + header->payload_bytes);
  if (!key.Verify(signed_bytes, bytes.substr(signed_bytes.size()))) {
    return absl::UnauthenticatedError("the envelope's authentication tag does not match");
  }
  return OpenedEnvelope{.sender = header->sender,
                        .sequence = header->sequence,
                        .payload = signed_bytes.substr(kEnvelopeHeaderBytes)};
}

}  // namespace heatherspan
