#include "tickets/ticket_codec.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "tickets/request_fingerprint.h"
#include "tickets/url_base64.h"

namespace heatherspan {
namespace {

constexpr MonotonicTime kNow{std::chrono::seconds(1'000)};

auto MakeCodec(const std::string& key, std::uint64_t instance) -> TicketCodec {
  return TicketCodec(key, InstanceId(instance), NodeName("sofia-1"));
}

TEST(TicketCodec, ParsesTicketsOfAllInstancesWithTheSameKey) {
  Random random(1);
  const auto text = MakeCodec("key", 7).Issue(kNow, random);
  const auto ticket = MakeCodec("key", 8).Parse(text).value();
  EXPECT_EQ(ticket.owner, InstanceId(7));
  EXPECT_EQ(ticket.owner_name, NodeName("sofia-1"));
  EXPECT_EQ(ticket.issued, kNow);
  EXPECT_FALSE(MakeCodec("other", 7).Parse(text).ok());
}

// Guards against two identical tickets: the second request would get the response to the first one.
TEST(TicketCodec, IssuesDistinctTicketsAtTheSameTime) {
  Random random(1);
  const auto codec = MakeCodec("key", 7);
  std::set<std::string> texts;
  for (int i = 0; i < 1'000; ++i) texts.insert(codec.Issue(kNow, random));
  EXPECT_EQ(texts.size(), 1'000);
}

// Guards against an altered text that is valid, as another ticket or as a second text of the same
// ticket.
TEST(TicketCodec, RejectsEveryAlteredText) {
  Random random(1);
  const auto codec = MakeCodec("key", 7);
  const auto text = codec.Issue(kNow, random);
  for (std::size_t i = 0; i < text.size(); ++i) {
    for (const char c : std::string("A_z0+ ")) {
      auto altered = text;
      altered[i] = c;
      EXPECT_EQ(codec.Parse(altered).ok(), altered == text) << i << c;
    }
    EXPECT_FALSE(codec.Parse(text.substr(0, i)).ok()) << i;
  }
  EXPECT_FALSE(codec.Parse(text + "A").ok());
  EXPECT_FALSE(codec.Parse(std::string(100'000, 'A')).ok());
}

TEST(UrlBase64, DecodesOnlyTextsThatEncodingProduces) {
  for (std::size_t size = 0; size < 20; ++size) {
    const std::string bytes(size, '\xfb');
    EXPECT_EQ(DecodeUrlBase64(EncodeUrlBase64(bytes)), bytes);
  }
  for (const auto* text : {"A", "AB", "AA=", "AAA/"}) {
    EXPECT_EQ(DecodeUrlBase64(text), std::nullopt) << text;
  }
}

TEST(RequestFingerprint, DiffersWhenTextMovesBetweenParts) {
  const auto fingerprint = FingerprintRequest("POST", ServiceName("ledger"), "/a", "b");
  EXPECT_EQ(fingerprint, FingerprintRequest("POST", ServiceName("ledger"), "/a", "b"));
  EXPECT_NE(fingerprint, FingerprintRequest("POST", ServiceName("ledger"), "/ab", ""));
  EXPECT_NE(fingerprint, FingerprintRequest("POST", ServiceName("ledge"), "r/a", "b"));
  EXPECT_NE(fingerprint, FingerprintRequest("PUT", ServiceName("ledger"), "/a", "b"));
}

}  // namespace
}  // namespace heatherspan
