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

  static auto Post(const std::string& body) -> std::string {
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
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

}  // namespace
}  // namespace heatherspan
