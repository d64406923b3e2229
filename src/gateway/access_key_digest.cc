#include "gateway/access_key_digest.h"

#include <openssl/evp.h>

#include <memory>
#include <stdexcept>

namespace heatherspan {
namespace {

/// A context that is used again, since fetching the algorithm takes longer than hashing a key.
class Hasher {
 public:
  auto Hash(std::string_view text, unsigned char* digest) -> void {
    const bool ok = context_ != nullptr && algorithm_ != nullptr &&
                    EVP_DigestInit_ex(context_.get(), algorithm_.get(), nullptr) == 1 &&
                    EVP_DigestUpdate(context_.get(), text.data(), text.size()) == 1 &&
                    EVP_DigestFinal_ex(context_.get(), digest, nullptr) == 1;
    // Without a digest, one key would pass for another.
    if (!ok) throw std::runtime_error("the cryptography library can't compute SHA-256");
  }

 private:
  struct Free {
    auto operator()(EVP_MD_CTX* context) const -> void { EVP_MD_CTX_free(context); }
    auto operator()(EVP_MD* algorithm) const -> void { EVP_MD_free(algorithm); }
  };

  std::unique_ptr<EVP_MD, Free> algorithm_{EVP_MD_fetch(nullptr, "SHA256", nullptr)};
  std::unique_ptr<EVP_MD_CTX, Free> context_{EVP_MD_CTX_new()};
};

}  // namespace

auto AccessKeyDigest::Of(std::string_view key) -> AccessKeyDigest {
  thread_local Hasher hasher;
  AccessKeyDigest digest;
  hasher.Hash(key, digest.bytes_.data());
  return digest;
}

}  // namespace heatherspan
