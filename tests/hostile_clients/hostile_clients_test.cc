// Clients that nobody controls against the gateway program. Each case has its own process, and
// checks only what does not depend on the machine's speed.
#include <gtest/gtest.h>
#include <poll.h>

#include <string>
#include <string_view>
#include <vector>

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

auto Check(GatewayUnderLoad& gateway, std::size_t memory_mb, std::size_t descriptors = 400)
    -> void {
  EXPECT_TRUE(gateway.is_alive());
  // The process reads what is left in the sockets between these.
  for (int i = 0; i < kOrdinaryRequests; ++i)
    ASSERT_EQ(gateway.Ask(""), 200) << i << "\n" << gateway.LogTail();
  EXPECT_LT(gateway.PeakBytes(), memory_mb * kMiB);
  EXPECT_LE(gateway.OpenDescriptors(), descriptors);
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

/// A listener beside that of the callers, with a request that it answers with 200.
struct SideListener {
  Endpoint (GatewayUnderLoad::*endpoint)() const;
  std::string_view target;
};

constexpr SideListener kDirectory{&GatewayUnderLoad::directory,
                                  "/heatherspan/resolve?name=h.example&region=r&zone=a"};
constexpr SideListener kReadiness{&GatewayUnderLoad::readiness, "/heatherspan/ready"};
constexpr SideListener kMetrics{&GatewayUnderLoad::metrics, "/metrics"};

auto PlayAt(const SideListener& listener, CrowdPlan plan) -> void {
  GatewayUnderLoad gateway({.memory_mb = kMemoryMb, .max_body_bytes = kMaxBodyBytes});
  ASSERT_TRUE(gateway.Start());
  const auto endpoint = (gateway.*listener.endpoint)();
  const std::string target(listener.target);
  ASSERT_TRUE(gateway.AskUntilAnswered(endpoint, target)) << gateway.LogTail();
  ClientCrowd crowd(endpoint, std::move(plan));
  EXPECT_TRUE(crowd.SendAll());
  EXPECT_EQ(gateway.AskAt(endpoint, target), 200) << gateway.LogTail();
  Check(gateway, kMemoryMb);
}

auto MegabyteBodies() -> CrowdPlan {
  return {.clients = 150,
          .head = "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n",
          .piece = std::string(10'000, 'x'),
          .pieces = 100,
          .stop_short = 10};
}

TEST(HostileClients, LargeBodiesAtTheDirectory) { PlayAt(kDirectory, MegabyteBodies()); }

TEST(HostileClients, LargeBodiesAtTheReadinessListener) { PlayAt(kReadiness, MegabyteBodies()); }

TEST(HostileClients, LargeBodiesAtTheMetricsListener) { PlayAt(kMetrics, MegabyteBodies()); }

/// Clients that connect and send nothing.
auto Idle(int clients) -> CrowdPlan {
  return {.clients = clients, .head = "", .piece = "", .pieces = 0, .stop_short = 0};
}

/// Clients that stop in the middle of a head.
auto HalfHeads(int clients) -> CrowdPlan {
  return {.clients = clients,
          .head = "GET /read/one HTTP/1.1\r\nHost: h.example\r\nHeather",
          .piece = "",
          .pieces = 0,
          .stop_short = 0};
}

// More than the machine's 400 descriptors.
constexpr int kCrowdOfConnections = 450;

TEST(HostileClients, IdleConnectionsAtTheDirectory) {
  PlayAt(kDirectory, Idle(kCrowdOfConnections));
}

TEST(HostileClients, IdleConnectionsAtTheReadinessListener) {
  PlayAt(kReadiness, Idle(kCrowdOfConnections));
}

TEST(HostileClients, IdleConnectionsAtTheMetricsListener) {
  PlayAt(kMetrics, Idle(kCrowdOfConnections));
}

TEST(HostileClients, HalfHeadsAtTheDirectory) {
  PlayAt(kDirectory, HalfHeads(kCrowdOfConnections));
}

TEST(HostileClients, IdleConnectionsOfCallers) { Play(Idle(kCrowdOfConnections)); }

TEST(HostileClients, HalfHeadsOfCallers) { Play(HalfHeads(kCrowdOfConnections)); }

/// Chunked bodies that stop short, below heads of as many fields as their size allows.
auto ShortFields(int clients, std::size_t fields) -> CrowdPlan {
  return {.clients = clients,
          .head = Head("Transfer-Encoding: chunked\r\n" + Repeat("a: b\r\n", fields - 1) + "a: b"),
          .piece = Chunk(1000),
          .pieces = 1,
          .stop_short = 10,
          .whole_every = clients + 1};
}

constexpr std::size_t kFieldsMemoryMb = 64;

TEST(HostileClients, HeadsOfManyShortFields) {
  constexpr int kDescriptors = 900;
  GatewayUnderLoad gateway(
      {.memory_mb = kFieldsMemoryMb, .max_body_bytes = kMaxBodyBytes, .descriptors = kDescriptors});
  ASSERT_TRUE(gateway.Start());
  ClientCrowd crowd(gateway.callers(), ShortFields(400, 2580));
  EXPECT_TRUE(crowd.SendAll());
  Check(gateway, kFieldsMemoryMb, kDescriptors);
}

TEST(HostileClients, HeadsOfManyShortFieldsAtThePeersListener) {
  constexpr int kDescriptors = 900;
  // The listener has its part of these, and the whole crowd has to get in.
  constexpr int kDescriptorsOfSettings = 2300;
  GatewayUnderLoad gateway({.memory_mb = kFieldsMemoryMb,
                            .max_body_bytes = kMaxBodyBytes,
                            .descriptors = kDescriptorsOfSettings});
  ASSERT_TRUE(gateway.Start());
  ClientCrowd crowd(gateway.peers(), ShortFields(250, 5200));
  EXPECT_TRUE(crowd.SendAll());
  Check(gateway, kFieldsMemoryMb, kDescriptors);
}

// Answers that are too small for a second buffer, to pipelined requests of clients that read none.
TEST(HostileClients, SmallAnswersThatNobodyReads) {
  constexpr std::size_t kSmallMachineMb = 48;
  constexpr int kDescriptors = 900;
  constexpr int kReaders = 400;
  constexpr std::size_t kRequestsEach = 24;
  GatewayUnderLoad gateway({.memory_mb = kSmallMachineMb,
                            .max_body_bytes = kMaxBodyBytes,
                            .descriptors = kDescriptors,
                            .target_slots = 40});
  gateway.target().SetBehaviour(
      [](const HttpRequest& request, const HttpServer::Responder& respond) {
        HttpResponse response;
        response.headers = {
            {"Heatherspan-Response-Signature", "sig"},
            {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
        response.body = std::string(request.target == "/read/one" ? 1 : 15'000, 'x');
        respond(std::move(response));
      });
  ASSERT_TRUE(gateway.Start());
  std::vector<RawSocket> crowd;
  for (int i = 0; i < kReaders; ++i) {
    crowd.push_back(RawSocket::ConnectWithSmallWindow(gateway.callers()));
    crowd.back().Send(
        Repeat("GET /read/small HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: crowd\r\n"
               "Heatherspan-Deadline-Ms: 30000\r\n\r\n",
               kRequestsEach));
    // The target has fewer slots than the crowd has requests.
    EXPECT_TRUE(gateway.AskUntilServed()) << gateway.LogTail();
  }
  Check(gateway, kSmallMachineMb, kDescriptors);
}

TEST(HostileClients, OneSlowBodyIsServedInCalm) {
  constexpr std::size_t kPieces = 100;
  constexpr std::size_t kPieceBytes = 1000;
  constexpr int kPauseMs = 50;
  GatewayUnderLoad gateway(
      {.memory_mb = kMemoryMb, .max_body_bytes = kMaxBodyBytes, .header_timeout_s = 2});
  ASSERT_TRUE(gateway.Start());
  const auto socket = RawSocket::Connect(gateway.callers());
  ASSERT_TRUE(socket.Send(Head(fmt::format("Content-Length: {}", kPieces * kPieceBytes))));
  for (std::size_t i = 0; i < kPieces; ++i) {
    pollfd early_answer{.fd = socket.descriptor(), .events = POLLIN, .revents = 0};
    if (::poll(&early_answer, 1, kPauseMs) != 0) break;
    ASSERT_TRUE(socket.Send(std::string(kPieceBytes, 'x')));
  }
  EXPECT_EQ(socket.ReadUntil("\r\n"), "HTTP/1.1 200 OK\r\n") << gateway.LogTail();
  Check(gateway, kMemoryMb);
}

}  // namespace
}  // namespace heatherspan
