#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/ids.h"
#include "messages/datagram.h"
#include "messages/peer_request.h"
#include "messages/peer_response.h"
#include "wire/authentication_key.h"
#include "wire/envelope.h"

namespace heatherspan {

/// Maximum size of a datagram, envelope included. It fits into one IP packet on any usual path.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
/// Maximum size of a frame on a peer link, envelope included.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{9} * 1024 * 1024;

/// Append the encoded message without an envelope.
auto AppendMessage(const Datagram& datagram, std::string& out) -> void;
auto AppendMessage(const PeerRequest& request, std::string& out) -> void;
auto AppendMessage(const PeerResponse& response, std::string& out) -> void;

/// Decode one payload. Lengths are checked against the remaining bytes before memory is allocated.
/// Trailing bytes after the message are an error.
auto DecodeDatagram(std::string_view payload) -> absl::StatusOr<Datagram>;
auto DecodePeerRequest(std::string_view payload) -> absl::StatusOr<PeerRequest>;
auto DecodePeerResponse(std::string_view payload) -> absl::StatusOr<PeerResponse>;

/// Returns the datagram in its envelope, or an error if that is longer than kMaxDatagramBytes.
auto SealDatagram(const AuthenticationKey& key, InstanceId sender, std::uint64_t sequence,
                  const Datagram& datagram) -> absl::StatusOr<std::string>;

}  // namespace heatherspan
