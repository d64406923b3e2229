#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/ids.h"
#include "wire/authentication_key.h"

namespace heatherspan {

/// The handshake of a peer link. The client sends its hello; the server answers with its own hello
/// and a proof that it has the key; the client sends its proof. Each hello carries a random
/// challenge, and the frame keys depend on both challenges, so that data recorded on one link can't
/// be replayed on another.
class LinkHandshake {
 public:
  enum class Role { kClient, kServer };

  /// Magic "HSPL" (4), version (1), instance (8), challenge (16).
  static constexpr std::size_t kHelloBytes = 29;
  static constexpr std::size_t kProofBytes = std::tuple_size_v<AuthenticationTag>;

  /// `key` must outlive the handshake.
  LinkHandshake(Role role, const AuthenticationKey& key, InstanceId self);

  auto hello() const -> const std::string& { return hello_; }
  /// Handles the peer's hello. The methods below may be called only after it has succeeded.
  auto OnHello(std::string_view bytes) -> absl::Status;
  /// The proof that this side has the key.
  auto Proof() const -> std::string;
  auto CheckProof(std::string_view bytes) const -> absl::Status;

  auto peer() const -> InstanceId { return peer_; }
  auto MakeSendKey() const -> AuthenticationKey;
  auto MakeReceiveKey() const -> AuthenticationKey;

 private:
  auto ComputeProof(Role role) const -> AuthenticationTag;
  auto DeriveFrameKey(Role sender) const -> AuthenticationKey;

  const Role role_;
  const AuthenticationKey& key_;
  const std::string hello_;
  std::string transcript_;  ///< The client's hello, then the server's.
  InstanceId peer_;
};

}  // namespace heatherspan
