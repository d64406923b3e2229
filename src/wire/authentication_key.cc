#include "wire/authentication_key.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace heatherspan {
namespace {

constexpr std::size_t kDigestBytes = 32;
using Digest = std::array<unsigned char, kDigestBytes>;

struct FreeContext {
  auto operator()(EVP_MAC_CTX* context) const -> void { EVP_MAC_CTX_free(context); }
};
using Context = std::unique_ptr<EVP_MAC_CTX, FreeContext>;

/// The algorithm is fetched only once because the fetch takes longer than signing a short message.
auto Hmac() -> EVP_MAC* {
  static EVP_MAC* const hmac = EVP_MAC_fetch(nullptr, OSSL_MAC_NAME_HMAC, nullptr);
  return hmac;
}

auto MakeContext(std::string_view secret) -> Context {
  Context context(EVP_MAC_CTX_new(Hmac()));
  std::string digest = "SHA256";
  const std::array parameters{
      OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
      OSSL_PARAM_construct_end()};
  const auto* key = reinterpret_cast<const unsigned char*>(secret.data());
  // Without the algorithm or memory nothing can be authenticated, so the process aborts.
  if (context == nullptr ||
      EVP_MAC_init(context.get(), key, secret.size(), parameters.data()) != 1) {
    std::abort();
  }
  return context;
}

}  // namespace

class AuthenticationKey::Impl {
 public:
  explicit Impl(std::string_view secret) : keyed_context_(MakeContext(secret)) {}

  auto Compute(std::string_view bytes) const -> Digest {
    Digest digest{};
    std::size_t size = 0;
    const Context context(EVP_MAC_CTX_dup(keyed_context_.get()));
    const auto* data = reinterpret_cast<const unsigned char*>(bytes.data());
    if (context == nullptr || EVP_MAC_update(context.get(), data, bytes.size()) != 1 ||
        EVP_MAC_final(context.get(), digest.data(), &size, digest.size()) != 1 ||
        size != digest.size()) {
      std::abort();
    }
    return digest;
  }

 private:
  const Context keyed_context_;
};

AuthenticationKey::AuthenticationKey(std::string_view secret)
    : impl_(std::make_unique<Impl>(secret)) {}

AuthenticationKey::~AuthenticationKey() = default;
AuthenticationKey::AuthenticationKey(AuthenticationKey&&) noexcept = default;
auto AuthenticationKey::operator=(AuthenticationKey&&) noexcept -> AuthenticationKey& = default;

auto AuthenticationKey::Sign(std::string_view bytes) const -> AuthenticationTag {
  const auto digest = impl_->Compute(bytes);
  AuthenticationTag tag{};
  std::copy_n(digest.begin(), tag.size(), tag.begin());
  return tag;
}

auto AuthenticationKey::Verify(std::string_view bytes, std::string_view tag) const -> bool {
  const auto expected = Sign(bytes);
  return tag.size() == expected.size() &&
         CRYPTO_memcmp(tag.data(), expected.data(), expected.size()) == 0;
}

auto AuthenticationKey::Derive(std::string_view purpose, std::string_view context) const
    -> AuthenticationKey {
  std::string text(purpose);
  // The zero byte separates purpose and context unambiguously: no purpose contains one.
  text.push_back('\0');
  text.append(context);
  const auto digest = impl_->Compute(text);
  return AuthenticationKey({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

}  // namespace heatherspan
