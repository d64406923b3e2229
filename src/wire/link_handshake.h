#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "base/ids.h"
#include "wire/authentication_key.h"

namespace heatherspan {

/// The start of a peer link. The client sends its hello; the server answers with its own hello and
/// a proof that it has the key; the client sends its proof. Both hellos carry a random challenge,
/// and the keys of the frames depend on both, so that nothing recorded on one link passes on
/// another.
class LinkHandshake {
 public:
  enum class Role { kClient, kServer };

  /// Magic "HSPL" (4), version (1), instance (8), challenge (16).
  static constexpr std::size_t kHelloBytes = 29;
  static constexpr std::size_t kProofBytes = std::tuple_size_v<AuthenticationTag>;

  /// The key has to outlive the handshake.
  LinkHandshake(Role role, const AuthenticationKey& key, InstanceId self);

  auto hello() const -> const std::string& { return hello_; }
  /// Takes the other side's hello; from then on the other methods may be called.
  auto OnHello(std::string_view bytes) -> absl::Status;
  /// Proves that this side has the key.
  auto Proof() const -> std::string;
  auto CheckProof(std::string_view bytes) const -> absl::Status;

  auto other() const -> InstanceId { return other_; }
  auto MakeSendKey() const -> AuthenticationKey;
  auto MakeReceiveKey() const -> AuthenticationKey;

 private:
  auto ProofOf(Role role) const -> AuthenticationTag;
  auto FrameKey(Role sender) const -> AuthenticationKey;

  const Role role_;
  const AuthenticationKey& key_;
  const std::string hello_;
  std::string transcript_;  ///< The client's hello, then the server's.
  InstanceId other_;
};

}  // namespace heatherspan
