#include "gateway/access_key_digest.h"

#include <openssl/sha.h>

namespace heatherspan {

auto AccessKeyDigest::Of(std::string_view key) -> AccessKeyDigest {
  static_assert(kBytes == SHA256_DIGEST_LENGTH);
  AccessKeyDigest digest;
  // SHA256() takes unsigned characters.
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.bytes_.data());
  return digest;
}

}  // namespace heatherspan
