#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/ids.h"
#include "wire/authentication_key.h"

namespace heatherspan {

/// Magic "HSPN" (4), format version (1), sender (8), sequence (8), payload length (4).
inline constexpr std::size_t kEnvelopeHeaderBytes = 25;
/// What an envelope adds to its payload.
inline constexpr std::size_t kEnvelopeBytes =
    kEnvelopeHeaderBytes + std::tuple_size_v<AuthenticationTag>;
/// Grows when the format changes; other versions are refused.
inline constexpr std::uint8_t kWireVersion = 1;

/// What the header of an envelope claims; nothing of it is authenticated yet.
struct EnvelopeHeader {
  InstanceId sender;
  std::uint64_t sequence = 0;
  std::size_t payload_bytes = 0;
};

/// An envelope whose authentication has been checked.
struct OpenedEnvelope {
  InstanceId sender;
  std::uint64_t sequence = 0;
  std::string_view payload;  ///< Points into the bytes that were opened.
};

/// A buffer with room for the header, behind which the payload is to be appended.
auto BeginEnvelope() -> std::string;
/// Fills in the header and appends the tag.
auto SealEnvelope(const AuthenticationKey& key, InstanceId sender, std::uint64_t sequence,
                  std::string& buffer) -> void;

/// Reads a header to learn how many bytes follow. Needs at least kEnvelopeHeaderBytes.
auto ReadEnvelopeHeader(std::string_view bytes) -> absl::StatusOr<EnvelopeHeader>;
/// Opens exactly one whole envelope.
auto OpenEnvelope(const AuthenticationKey& key, std::string_view bytes)
    -> absl::StatusOr<OpenedEnvelope>;

}  // namespace heatherspan
