// Clients that nobody controls against the gateway program. Each case has its own process, and
// checks only what does not depend on the machine's speed.
#include <gtest/gtest.h>

#include <string>

#include "client_crowd.h"
#include "fmt/format.h"
#include "gateway_under_load.h"

namespace heatherspan {
namespace {

constexpr std::size_t kMiB = std::size_t{1024} * 1024;
constexpr std::size_t kMemoryMb = 96;
constexpr std::size_t kMaxBodyBytes = 8 * kMiB;
constexpr int kClients = 24;
constexpr int kOrdinaryRequests = 100;

auto Head(const std::string& framing) -> std::string {
  return fmt::format(
      "POST /read/crowd HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: crowd\r\n"
      "Heatherspan-Deadline-Ms: 30000\r\n{}\r\n\r\n",
      framing);
}

auto Chunk(std::size_t size) -> std::string {
  return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'x'));
}

auto Repeat(const std::string& text, std::size_t count) -> std::string {
  std::string all;
  for (std::size_t i = 0; i < count; ++i) all += text;
  return all;
}

constexpr std::size_t kLargePiece = std::size_t{64} * 1024;

/// Bodies of the largest size that is allowed, announced.
auto Announced() -> CrowdPlan {
  return {.clients = kClients,
          .head = Head(fmt::format("Content-Length: {}", kMaxBodyBytes)),
          .piece = std::string(kLargePiece, 'x'),
          .pieces = kMaxBodyBytes / kLargePiece};
}

/// Bodies of the largest size that is allowed, in chunks.
auto Chunked(std::size_t chunk) -> CrowdPlan {
  const auto group = std::size_t{64} * 1024 / chunk;
  return {.clients = kClients,
          .head = Head("Transfer-Encoding: chunked"),
          .piece = Repeat(Chunk(chunk), group),
          .pieces = kMaxBodyBytes / (group * chunk),
          .tail = "0\r\n\r\n",
          .stop_short = 7};
}

auto Check(GatewayUnderLoad& gateway, std::size_t memory_mb) -> void {
  EXPECT_TRUE(gateway.is_alive());
  // The process reads what is left in the sockets between these.
  for (int i = 0; i < kOrdinaryRequests; ++i)
    ASSERT_EQ(gateway.Ask(""), 200) << i << "\n" << gateway.LogTail();
  EXPECT_LT(gateway.PeakBytes(), memory_mb * kMiB);
  EXPECT_LE(gateway.OpenDescriptors(), 400U);
  fmt::print("peak {} KiB\n", gateway.PeakBytes() / 1024);
}

auto Play(CrowdPlan plan) -> void {
  GatewayUnderLoad gateway({.memory_mb = kMemoryMb, .max_body_bytes = kMaxBodyBytes});
  ASSERT_TRUE(gateway.Start());
  ClientCrowd crowd(gateway.callers(), std::move(plan));
  EXPECT_TRUE(crowd.SendAll());
  Check(gateway, kMemoryMb);
}

TEST(HostileClients, LargeBodiesAtOnce) { Play(Announced()); }

TEST(HostileClients, LargeBodiesPieceByPiece) {
  auto plan = Announced();
  plan.bytes_per_turn = 4096;
  Play(std::move(plan));
}

TEST(HostileClients, LargeChunks) { Play(Chunked(kLargePiece)); }

TEST(HostileClients, TinyChunks) { Play(Chunked(8)); }

TEST(HostileClients, BodiesFarOverTheLimitJustSent) {
  auto plan = Chunked(kLargePiece);
  plan.pieces *= 8;
  Play(std::move(plan));
}

TEST(HostileClients, BodiesFarOverTheLimitAnnounced) {
  auto plan = Announced();
  plan.head = Head("Content-Length: 10000000000");
  plan.pieces *= 8;
  Play(std::move(plan));
}

// The answers to pipelined requests of clients that read none of them.
TEST(HostileClients, SlowReaders) {
  GatewayUnderLoad gateway(
      {.memory_mb = kMemoryMb, .max_body_bytes = kMaxBodyBytes, .target_slots = 40});
  gateway.target().SetBehaviour(
      [](const HttpRequest& request, const HttpServer::Responder& respond) {
        HttpResponse response;
        response.headers = {
            {"Heatherspan-Response-Signature", "sig"},
            {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
        response.body = std::string(request.target == "/read/one" ? 1 : 6 * kMiB, 'x');
        respond(std::move(response));
      });
  ASSERT_TRUE(gateway.Start());
  ClientCrowd crowd(
      gateway.callers(),
      {.clients = kClients,
       .head = "",
       .piece = "GET /read/large HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: crowd\r\n"
                "Heatherspan-Deadline-Ms: 30000\r\n\r\n",
       .pieces = 8,
       .stop_short = 0});
  EXPECT_TRUE(crowd.SendAll());
  // The crowd has more requests than the target has slots.
  EXPECT_TRUE(gateway.AskUntilServed()) << gateway.LogTail();
  Check(gateway, kMemoryMb);
}

TEST(HostileClients, TrailersWithoutEnd) {
  auto plan = Chunked(kLargePiece);
  plan.head += Chunk(1) + "0\r\n";
  plan.piece = Repeat("field: value\r\n", 4096);
  plan.pieces = 64;
  plan.tail = "\r\n";
  Play(std::move(plan));
}

TEST(HostileClients, OneBodyAtTheLimitIsServedInCalm) {
  constexpr std::size_t kSmallestMachineMb = 160;
  constexpr std::size_t kLargestBody = 64 * kMiB;
  GatewayUnderLoad gateway({.memory_mb = kSmallestMachineMb, .max_body_bytes = kLargestBody});
  ASSERT_TRUE(gateway.Start());
  EXPECT_EQ(gateway.Ask(std::string(kLargestBody, 'x')), 200);
  ASSERT_FALSE(gateway.target().Requests().empty());
  EXPECT_EQ(gateway.target().Requests().back().body.size(), kLargestBody);
  Check(gateway, kSmallestMachineMb);
}

}  // namespace
}  // namespace heatherspan
