#include "document/sha256.h"

#include <openssl/evp.h>

#include <array>

#include "fmt/format.h"

namespace heatherspan {

auto Sha256Hex(std::string_view bytes) -> std::string {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string text;
  for (unsigned int i = 0; i < size; ++i) text += fmt::format("{:02x}", digest[i]);
  return text;
}

}  // namespace heatherspan
