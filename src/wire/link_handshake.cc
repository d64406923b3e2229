#include "wire/link_handshake.h"

#include <openssl/rand.h>

#include <array>
#include <cstdint>
#include <cstdlib>

#include "fmt/format.h"
#include "wire/byte_order.h"
#include "wire/envelope.h"

namespace heatherspan {
namespace {

constexpr std::string_view kMagic = "HSPL";
constexpr std::size_t kVersionOffset = 4;
constexpr std::size_t kInstanceOffset = 5;
constexpr std::size_t kChallengeBytes = 16;

auto MakeHello(InstanceId self) -> std::string {
  std::array<unsigned char, kChallengeBytes> challenge{};
  // A predictable challenge would allow replay attacks, so the process aborts if no random bytes
  // are available.
  if (RAND_bytes(challenge.data(), static_cast<int>(challenge.size())) != 1) std::abort();
  std::string hello(kMagic);
  hello.push_back(static_cast<char>(kWireVersion));
  AppendLittleEndian(self.value(), hello);
  hello.append(reinterpret_cast<const char*>(challenge.data()), challenge.size());
  return hello;
}

auto OppositeRole(LinkHandshake::Role role) -> LinkHandshake::Role {
  return role == LinkHandshake::Role::kClient ? LinkHandshake::Role::kServer
                                              : LinkHandshake::Role::kClient;
}

}  // namespace

LinkHandshake::LinkHandshake(Role role, const AuthenticationKey& key, InstanceId self)
    : role_(role), key_(key), hello_(MakeHello(self)) {}

auto LinkHandshake::OnHello(std::string_view bytes) -> absl::Status {
  if (bytes.size() != kHelloBytes || bytes.substr(0, kMagic.size()) != kMagic) {
    return absl::InvalidArgumentError("the peer's hello is not a peer link hello");
  }
  const auto version = static_cast<std::uint8_t>(bytes[kVersionOffset]);
  if (version != kWireVersion) {
    return absl::InvalidArgumentError(
        fmt::format("the peer uses peer link version {}; expected {}", version, kWireVersion));
  }
  peer_ = InstanceId(ReadLittleEndian<std::uint64_t>(bytes.data() + kInstanceOffset));
  const std::string peer_hello(bytes);
  transcript_ = role_ == Role::kClient ? hello_ + peer_hello : peer_hello + hello_;
  return absl::OkStatus();
}

auto LinkHandshake::ComputeProof(Role role) const -> AuthenticationTag {
  const auto* purpose = role == Role::kClient ? "link proof of client" : "link proof of server";
  return key_.Derive(purpose, transcript_).Sign({});
}

auto LinkHandshake::Proof() const -> std::string {
  const auto tag = ComputeProof(role_);
  return {tag.data(), tag.size()};
}

auto LinkHandshake::CheckProof(std::string_view bytes) const -> absl::Status {
  const auto* purpose = role_ == Role::kClient ? "link proof of server" : "link proof of client";
  if (key_.Derive(purpose, transcript_).Verify({}, bytes)) return absl::OkStatus();
  return absl::UnauthenticatedError(
      fmt::format("instance {:016x} does not have the same key", peer_.value()));
}

auto LinkHandshake::DeriveFrameKey(Role sender) const -> AuthenticationKey {
  const auto* purpose = sender == Role::kClient ? "link frames of client" : "link frames of server";
  return key_.Derive(purpose, transcript_);
}

auto LinkHandshake::MakeSendKey() const -> AuthenticationKey { return DeriveFrameKey(role_); }

auto LinkHandshake::MakeReceiveKey() const -> AuthenticationKey {
  return DeriveFrameKey(OppositeRole(role_));
}

}  // namespace heatherspan
