#include "wire/envelope.h"

#include <gtest/gtest.h>

#include <random>

namespace heatherspan {
namespace {

auto MakeEnvelope(const AuthenticationKey& key, std::string_view payload) -> std::string {
  auto buffer = BeginEnvelope();
  buffer.append(payload);
  SealEnvelope(key, InstanceId(7), 9, buffer);
  return buffer;
}

TEST(Envelope, OpensSealedEnvelope) {
  const AuthenticationKey key("secret");
  const auto bytes = MakeEnvelope(key, "payload");
  EXPECT_EQ(bytes.size(), 7 + kEnvelopeBytes);
  const auto opened = OpenEnvelope(key, bytes);
  ASSERT_TRUE(opened.ok()) << opened.status();
  EXPECT_EQ(opened->sender, InstanceId(7));
  EXPECT_EQ(opened->sequence, 9U);
  EXPECT_EQ(opened->payload, "payload");
}

// Guards against a change of the algorithm. The expected tag is that of RFC 4231, test case 2.
TEST(AuthenticationKey, MatchesRfc4231TestCase2) {
  const auto tag = AuthenticationKey("Jefe").Sign("what do ya want for nothing?");
  const std::string_view expected(
      "\x5b\xdc\xc1\x46\xbf\x60\x75\x4e\x6a\x04\x24\x26\x08\x95\x75\xc7", 16);
  EXPECT_EQ(std::string_view(tag.data(), tag.size()), expected);
}

TEST(AuthenticationKey, DerivedKeysDifferByPurposeAndContext) {
  const AuthenticationKey key("secret");
  const auto tag = key.Derive("a", "b").Sign("x");
  EXPECT_EQ(tag, key.Derive("a", "b").Sign("x"));
  EXPECT_NE(tag, key.Derive("a", "c").Sign("x"));
  EXPECT_NE(tag, key.Derive("c", "b").Sign("x"));
  EXPECT_NE(tag, key.Sign("x"));
}

TEST(Envelope, RejectsEnvelopeOfAnotherKey) {
  const auto opened =
      OpenEnvelope(AuthenticationKey("other"), MakeEnvelope(AuthenticationKey("a"), "p"));
  EXPECT_EQ(opened.status().code(), absl::StatusCode::kUnauthenticated);
}

TEST(Envelope, RejectsEveryChangedByteAndEveryTruncation) {
  const AuthenticationKey key("secret");
  const auto bytes = MakeEnvelope(key, "payload");
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    auto changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    EXPECT_FALSE(OpenEnvelope(key, changed).ok()) << "byte " << i;
    EXPECT_FALSE(OpenEnvelope(key, bytes.substr(0, i)).ok()) << "size " << i;
  }
  EXPECT_FALSE(OpenEnvelope(key, bytes + "x").ok());
}

}  // namespace
}  // namespace heatherspan
