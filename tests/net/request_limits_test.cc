#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

constexpr HttpServer::Limits kLow{.max_header_bytes = 512, .max_body_bytes = 64};
constexpr HttpServer::Limits kHigh{.max_header_bytes = 4096, .max_body_bytes = 4096};

/// A server that answers each request with the size of its body.
class RequestLimitsTest : public testing::Test {
 protected:
  ~RequestLimitsTest() override { workers_.Stop(); }

  auto Start(const HttpServer::Limits& limits) -> void {
    server_ = std::make_unique<HttpServer>(
        workers_, limits, [](const HttpRequest& request, const HttpServer::Responder& respond) {
          HttpResponse response;
          response.body = std::to_string(request.body.size()) + " bytes";
          respond(std::move(response));
        });
    endpoint_ = *server_->Listen({"127.0.0.1", 0});
  }

  /// Returns the first line of the answer.
  static auto Exchange(const RawSocket& socket, const std::string& input, const std::string& size)
      -> std::string {
    socket.Send(input);
    const auto answer = socket.ReadUntil(size + " bytes");
    return answer.substr(0, answer.find("\r\n"));
  }

  static auto Get(const std::string& fields = "") -> std::string {
    return "GET / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
  }

  static auto Post(const std::string& body) -> std::string {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  static auto PostChunked(const std::string& hex_size, const std::string& body) -> std::string {
    return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + hex_size + "\r\n" +
           body + "\r\n0\r\n\r\n";
  }

  WorkerPool workers_{2};
  std::unique_ptr<HttpServer> server_;
  Endpoint endpoint_;
};

// Guards against a body beyond its limit that is called a header beyond its limit, because it comes
// with its header in one piece.
TEST_F(RequestLimitsTest, ATooLargeBodyIsNoTooLargeHeader) {
  Start(kLow);
  EXPECT_EQ(Exchange(RawSocket::Connect(endpoint_), Post(std::string(2048, 'b')), ""),
            "HTTP/1.1 413 Content Too Large");
  EXPECT_EQ(server_->counters().body_too_large, 1U);
  EXPECT_EQ(server_->counters().header_too_large, 0U);
}

// Guards against 413 and 431 for requests on a kept connection that the limits in force allow,
// because the connection was accepted under lower ones.
TEST_F(RequestLimitsTest, KeptConnectionsFollowHigherLimits) {
  const std::string body(2048, 'b');
  for (const auto& [input, size] :
       {std::pair{Get("A: " + body + "\r\n"), "0"}, std::pair{Post(body), "2048"},
        std::pair{PostChunked("800", body), "2048"}}) {
    Start(kLow);
    const auto socket = RawSocket::Connect(endpoint_);
    ASSERT_EQ(Exchange(socket, Get(), "0"), "HTTP/1.1 200 OK");
    server_->SetLimits(kHigh);
    EXPECT_EQ(Exchange(socket, input, size), "HTTP/1.1 200 OK") << input.substr(0, 60);
  }
}

// Guards against a proper request that is refused because of what comes before or behind it, or
// that just keeps to the limits.
TEST_F(RequestLimitsTest, ProperRequestsAreServedHoweverManyAreSentAhead) {
  constexpr unsigned kSeed = 20261207;
  constexpr int kRequests = 400;
  const auto hex = [](std::size_t number) { return fmt::format("{:x}", number); };
  for (const std::size_t max_pipelined : {1, 2, 8}) {
    auto limits = kLow;
    limits.max_pipelined = max_pipelined;
    limits.max_body_bytes = std::size_t{64} * 1024;
    Start(limits);
    std::mt19937 random(kSeed);
    std::string input;
    std::vector<std::size_t> sizes;
    for (int i = 0; i < kRequests; ++i) {
      const auto size = i % 7 == 0 ? limits.max_body_bytes : random() % 2048;
      const std::string body(size, 'b');
      const auto kind = random() % 4;
      sizes.push_back(kind == 0 ? 0 : size);
      if (kind == 0) {
        const auto empty = Get("A: \r\n").size();
        input += Get("A: " + std::string(limits.max_header_bytes - empty, 'h') + "\r\n");
      } else if (kind == 1) {
        input += Post(body);
      } else if (kind == 2) {
        input += size == 0 ? Post("") : PostChunked(hex(size), body);
      } else {
        std::string chunks;
        for (std::size_t at = 0; at < size;) {
          const auto part = std::min<std::size_t>(size - at, 1 + random() % 64);
          chunks += hex(part) + ";ext=1\r\n" + body.substr(0, part) + "\r\n";
          at += part;
        }
        input += "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks +
                 "0\r\nA-Trailer: " + std::string(random() % 400, 't') + "\r\n\r\n";
      }
    }
    const auto socket = RawSocket::Connect(endpoint_);
    std::thread sender([&] {
      for (std::size_t at = 0; at < input.size();) {
        const auto piece = 1 + random() % (std::size_t{96} * 1024);
        if (!socket.Send(std::string_view(input).substr(at, piece))) return;
        at += piece;
      }
    });
    for (int i = 0; i < kRequests; ++i) {
      const auto answer = socket.ReadUntil(" bytes");
      const auto size = std::to_string(sizes[static_cast<std::size_t>(i)]);
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 200") && answer.ends_with("\r\n" + size + " bytes"))
          << "seed " << kSeed << " request " << i << ": " << answer;
      if (HasFailure()) break;
    }
    sender.join();
  }
}

// Guards against bytes behind a refused message that are taken for a request.
TEST_F(RequestLimitsTest, NothingIsReadBehindARefusedMessage) {
  Start(kLow);
  const auto refused = {std::string("nonsense\r\n\r\n"), Post(std::string(65, 'b')),
                        Get("A: " + std::string(512, 'h') + "\r\n"),
                        "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" + Get()};
  for (const auto& input : refused) {
    const auto socket = RawSocket::Connect(endpoint_);
    socket.Send(Get() + input + Get());
    const auto output = socket.ReadUntilClosed();
    EXPECT_TRUE(output.starts_with("HTTP/1.1 200")) << output;
    const auto second = output.find("HTTP/1.1 4");
    ASSERT_NE(second, std::string::npos) << output;
    EXPECT_EQ(output.find("HTTP/1.1 ", second + 1), std::string::npos) << output;
  }
}

// Guards against requests beyond the limits in force on connections from before them.
TEST_F(RequestLimitsTest, KeptConnectionsFollowLowerLimits) {
  const std::string body(2048, 'b');
  for (const auto& [input, status] :
       {std::pair{Get("A: " + body + "\r\n"), "431"}, std::pair{Post(body), "413"},
        std::pair{PostChunked("800", body), "413"}}) {
    Start(kHigh);
    const auto socket = RawSocket::Connect(endpoint_);
    ASSERT_EQ(Exchange(socket, Get(), "0"), "HTTP/1.1 200 OK");
    server_->SetLimits(kLow);
    EXPECT_EQ(Exchange(socket, input, "").substr(9, 3), status) << input.substr(0, 60);
  }
}

// Guards against a request that is refused half-way because of limits that came after its start.
TEST_F(RequestLimitsTest, ARequestKeepsTheLimitsOfItsStart) {
  Start(kHigh);
  const auto socket = RawSocket::Connect(endpoint_);
  socket.Send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 65\r\n\r\n");
  // The server has read the header then.
  ASSERT_EQ(socket.ReadUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  server_->SetLimits(kLow);
  EXPECT_EQ(Exchange(socket, std::string(65, 'b'), "65"), "HTTP/1.1 200 OK");
}

}  // namespace
}  // namespace heatherspan
