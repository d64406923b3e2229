#include "wire/message_codec.h"

#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr unsigned kSeed = 20260413;
constexpr int kRounds = 20'000;

auto Hex(std::string_view bytes) -> std::string {
  std::string text;
  for (const char byte : bytes) text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
  return text;
}

template <class Message>
auto Encode(const Message& message) -> std::string {
  std::string out;
  AppendMessage(message, out);
  return out;
}

auto Update(const std::string& name) -> MemberUpdate {
  return {.name = NodeName(name),
          .zone = ZoneName("sofia-a"),
          .instance = InstanceId(0x0102030405060708),
          .incarnation = 3,
          .state = MemberState::kLeaving,
          .caller_endpoint = {"192.0.2.1", 8080},
          .peer_endpoint = {"2001:db8::1", 7000},
          .started_unix_ms = -1};
}

auto Datagrams() -> std::vector<Datagram> {
  const ConfigDigest config{.version = ConfigVersion(5), .manifest_hash = "ab"};
  const NodeLoad load{.zone = ZoneName("z"),
                      .instance = InstanceId(1),
                      .services = {{ServiceName("ledger"), 3, 2, 1}},
                      .share_used_percent = 40};
  return {
      Ping{.sequence = 1, .updates = {Update("n1")}, .config = config, .load = load},
      PingRequest{.sequence = 2,
                  .subject = InstanceId(9),
                  .subject_endpoint = {"192.0.2.2", 1},
                  .updates = {}},
      Ack{.sequence = 3, .subject = {}, .updates = {Update("n2")}, .config = config, .load = load},
      ShareRequest{.sequence = 4,
                   .holder = InstanceId(1),
                   .region = RegionName("sofia"),
                   .demand = RequestsPerSecond(12.5)},
      ShareGrant{.sequence = 4,
                 .grantor = InstanceId(2),
                 .region = RegionName("sofia"),
                 .config_version = ConfigVersion(5),
                 .share = RequestsPerSecond(0.1),
                 .lifetime_ms = 4000},
  };
}

auto Requests() -> std::vector<PeerRequest> {
  return {
      ForwardRequest{.request_id = RequestId("r"),
                     .service = ServiceName("ledger"),
                     .home = RegionName("h"),
                     .zone = ZoneName("z"),
                     .ticket = "t",
                     .deadline_ms = 250,
                     .method = "POST",
                     .path = "/a",
                     .headers = {{"A", "b"}},
                     .body = std::string(300, 'x')},
      ManifestRequest{},
      ChunkRequest{.hashes = {"a", "b"}},
      TicketStatusRequest{.ticket = "t"},
      CancelRequest{.request_id = RequestId("r")},
  };
}

auto Responses() -> std::vector<PeerResponse> {
  ForwardResponse forwarded;
  forwarded.verdict = Verdict::kRan;
  forwarded.status = 200;
  forwarded.headers = {{"A", "b"}};
  forwarded.body = "x";
  TicketStatusResponse status;
  status.known = true;
  status.verdict = Verdict::kNotRun;
  status.reason = Reason::kInternal;
  return {
      forwarded,
      ManifestResponse{.manifest = "m"},
      ChunkResponse{.chunks = {"", "c"}},
      status,
  };
}

TEST(MessageCodec, DecodesEncodedMessages) {
  for (const auto& message : Datagrams()) {
    const auto decoded = DecodeDatagram(Encode(message));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(decoded->index(), message.index());
    EXPECT_EQ(Hex(Encode(*decoded)), Hex(Encode(message)));
  }
  for (const auto& message : Requests()) {
    const auto decoded = DecodePeerRequest(Encode(message));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(Hex(Encode(*decoded)), Hex(Encode(message)));
  }
  for (const auto& message : Responses()) {
    const auto decoded = DecodePeerResponse(Encode(message));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    EXPECT_EQ(Hex(Encode(*decoded)), Hex(Encode(message)));
  }
}

// Guards against an unnoticed change of the wire format: nodes of two builds exchange messages
// during a rolling replacement of the fleet. A change of these bytes needs a new kWireVersion.
TEST(MessageCodec, FormatIsUnchanged) {
  EXPECT_EQ(Hex(*SealDatagram(AuthenticationKey("k"), InstanceId(0x1122), 0x33, Datagrams()[0])),
            "4853504e012211000000000000330000000000000078000000"
            "00000000010000000000000001026e3107736f6669612d6108070605040302010300000000000000"
            "02093139322e302e322e31901f0b323030313a6462383a3a31581bffffffffffffffff0500000000"
            "000000026162017a010000000000000001066c656467657203000000020000000100000028000000"
            ""
            "3136ea0d38aa03c269a9e2f4101aeecd");
  EXPECT_EQ(Hex(Encode(Datagrams()[3])),
            "030000000400000000000000010000000000000005736f6669610000000000002940");
  EXPECT_EQ(Hex(Encode(Requests()[2])), "020000000201610162");
  EXPECT_EQ(Hex(Encode(Responses()[3])), "030000000100000000002100000000000000");
}

// Guards against allocations and table accesses whose size or index comes unchecked from the
// sender.
TEST(MessageCodec, RejectsMalformedInput) {
  const std::string kind_chunks("\2\0\0\0", 4);
  struct Case {
    std::string bytes;
    std::string message;
  };
  const std::vector<Case> cases{
      {"", "truncated: 4 bytes expected, 0 remain"},
      {std::string("\xff\xff\xff\xff", 4), "variant"},
      {std::string("\x07\0\0\0", 4), "variant"},
      {kind_chunks + "\xff\xff\xff\xff\x0f",
       "a length of 4294967295 exceeds the 0 remaining bytes"},
      {kind_chunks + "\xff\xff\xff\xff\xff\xff", "the encoding of a length is too long"},
      {kind_chunks + "\1\5ab", "a length of 5 exceeds the 2 remaining bytes"},
      {kind_chunks + "\x80\x80\x80\1" + std::string(3'000'000, '\0'),
       "a list has 2097152 elements"},
      {kind_chunks + std::string("\0x", 2), "1 trailing bytes after the message"},
  };
  for (const auto& [bytes, message] : cases) {
    const auto decoded = DecodePeerRequest(bytes);
    EXPECT_EQ(decoded.status().code(), absl::StatusCode::kInvalidArgument);
    EXPECT_NE(std::string(decoded.status().message()).find(message), std::string::npos)
        << decoded.status();
  }
  EXPECT_FALSE(DecodeDatagram(std::string(kMaxDatagramBytes, '\0')).ok());
  EXPECT_FALSE(DecodePeerRequest(std::string(kMaxFrameBytes + 1, '\0')).ok());
}

TEST(MessageCodec, RejectsUnknownEnumerators) {
  TicketStatusResponse status;
  status.reason = static_cast<Reason>(AllReasons().size());
  EXPECT_FALSE(DecodePeerResponse(Encode(PeerResponse(status))).ok());
  status.reason = Reason::kNone;
  status.verdict = static_cast<Verdict>(-1);
  EXPECT_FALSE(DecodePeerResponse(Encode(PeerResponse(status))).ok());
  auto update = Update("n");
  update.state = static_cast<MemberState>(4);
  Ping ping;
  ping.updates = {update};
  EXPECT_FALSE(DecodeDatagram(Encode(Datagram(ping))).ok());
  auto bad_bool = Encode(PeerResponse(TicketStatusResponse{}));
  bad_bool[4] = 2;
  EXPECT_FALSE(DecodePeerResponse(bad_bool).ok());
}

template <class Decoder>
auto MutateAndDecode(const std::string& valid, std::mt19937& random, Decoder decode) -> int {
  auto bytes = valid;
  for (unsigned change = 0; change < 1 + random() % 4; ++change) {
    bytes[random() % bytes.size()] = static_cast<char>(random());
  }
  if (random() % 3 == 0) bytes.resize(random() % bytes.size());
  const auto decoded = decode(bytes);
  if (!decoded.ok()) return 0;
  // A message that can be decoded can also be encoded and decoded again.
  EXPECT_TRUE(decode(Encode(*decoded)).ok());
  return 1;
}

TEST(MessageCodec, HandlesMutatedInput) {
  std::cout << "seed " << kSeed << "\n";
  std::mt19937 random(kSeed);
  const auto datagrams = Datagrams();
  const auto requests = Requests();
  const auto responses = Responses();
  int decoded = 0;
  for (int round = 0; round < kRounds; ++round) {
    decoded +=
        MutateAndDecode(Encode(datagrams[random() % datagrams.size()]), random, DecodeDatagram);
    decoded +=
        MutateAndDecode(Encode(requests[random() % requests.size()]), random, DecodePeerRequest);
    decoded +=
        MutateAndDecode(Encode(responses[random() % responses.size()]), random, DecodePeerResponse);
  }
  EXPECT_GT(decoded, 0);
  EXPECT_LT(decoded, 3 * kRounds);
}

TEST(MessageCodec, RejectsDatagramsAboveTheLimit) {
  const AuthenticationKey key("k");
  Ping ping;
  // Membership sends at most eight updates.
  ping.updates.assign(8, Update("stranokrak-entry-sofia-a-01"));
  EXPECT_TRUE(SealDatagram(key, InstanceId(1), 1, ping).ok());
  ping.updates.assign(20, Update("stranokrak-entry-sofia-a-01"));
  const auto sealed = SealDatagram(key, InstanceId(1), 1, ping);
  EXPECT_EQ(sealed.status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_NE(std::string(sealed.status().message()).find("at most 1200"), std::string::npos);
}

}  // namespace
}  // namespace heatherspan
