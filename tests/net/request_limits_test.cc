#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>

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
