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
/// Header and tag: the bytes that an envelope adds to its payload.
inline constexpr std::size_t kEnvelopeBytes =
    kEnvelopeHeaderBytes + std::tuple_size_v<AuthenticationTag>;
/// Incremented when the format changes; other versions are rejected.
inline constexpr std::uint8_t kWireVersion = 1;

/// The header of an envelope; its contents are not authenticated yet.
struct EnvelopeHeader {
  InstanceId sender;
  std::uint64_t sequence = 0;
  std::size_t payload_bytes = 0;
};

/// An envelope whose authentication tag has been verified.
struct OpenedEnvelope {
  InstanceId sender;
  std::uint64_t sequence = 0;
  std::string_view payload;  ///< Points into the bytes passed to OpenEnvelope.
};

/// Returns a buffer with space for the header; the caller appends the payload.
auto BeginEnvelope() -> std::string;
/// Fills in the header and appends the tag.
auto SealEnvelope(const AuthenticationKey& key, InstanceId sender, std::uint64_t sequence,
                  std::string& buffer) -> void;

/// Reads a header, which gives the number of bytes that follow. Needs at least
/// kEnvelopeHeaderBytes.
auto ReadEnvelopeHeader(std::string_view bytes) -> absl::StatusOr<EnvelopeHeader>;
/// Verifies and opens exactly one complete envelope.
auto OpenEnvelope(const AuthenticationKey& key, std::string_view bytes)
    -> absl::StatusOr<OpenedEnvelope>;

}  // namespace heatherspan
