#include "gateway/request_digest.h"

#include <gtest/gtest.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <string>

namespace heatherspan {
namespace {

// Guards against VMs that name the same request by different digests, because large bodies are
// hashed in parts and small ones in one copy.
TEST(RequestDigest, IsTheSameWhetherThePartsAreCopiedOrNot) {
  for (const std::size_t size : {0, 1, 16'000, 17'000, 1'000'000}) {
    const std::string body(size, 'b');
    const auto text = "3:PUT" + std::to_string(size) + ":" + body;
    std::array<unsigned char, EVP_MAX_MD_SIZE> code{};
    unsigned int code_size = 0;
    HMAC(EVP_sha256(), "key", 3, reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         code.data(), &code_size);
    std::array<std::uint64_t, 2> halves{};
    std::copy(code.begin(), code.begin() + sizeof halves,
              reinterpret_cast<unsigned char*>(halves.data()));
    EXPECT_EQ(RequestDigest::Of("key", {"PUT", body}), RequestDigest(halves[0], halves[1])) << size;
  }
}

}  // namespace
}  // namespace heatherspan
