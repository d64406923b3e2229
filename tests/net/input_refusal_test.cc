#include "net/input_refusal.h"

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "blocking_queue.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

using Cause = InputRefusal::Cause;

/// A server that answers each request at once and tells of those that it refuses itself.
class InputRefusalTest : public testing::Test {
 protected:
  ~InputRefusalTest() override { workers_.Stop(); }

  auto Start(const HttpServer::Limits& limits) -> void {
    server_ = std::make_unique<HttpServer>(
        workers_, limits, [this](const HttpRequest& request, const HttpServer::Responder& respond) {
          if (request.target == "/held") {
            held_.Push(respond);
            return;
          }
          HttpResponse response;
          response.body = "answered";
          respond(response);
        });
    server_->SetRefusalObserver([this](const InputRefusal& refusal) { refusals_.Push(refusal); });
    const auto bound = server_->Listen({"127.0.0.1", 0});
    ASSERT_TRUE(bound.ok()) << bound.status();
    endpoint_ = *bound;
  }

  /// Returns what the server tells of the input on a new connection.
  auto RefusalOf(std::string_view input) -> InputRefusal {
    auto socket = RawSocket::Connect(endpoint_);
    socket.Send(input);
    socket.ReadUntilClosed();
    return refusals_.Pop().value_or(InputRefusal{});
  }

  BlockingQueue<InputRefusal> refusals_;
  BlockingQueue<HttpServer::Responder> held_;  ///< Of requests that are not answered.
  WorkerPool workers_{2};
  std::unique_ptr<HttpServer> server_;
  Endpoint endpoint_;
};

TEST_F(InputRefusalTest, NamesTheCauseAndTheErrorOfTheReader) {
  Start({.max_header_bytes = 512,
         .max_body_bytes = 64,
         .request_timeout = std::chrono::milliseconds(20)});
  const std::string bad_line = "nonsense\r\n\r\n";
  const auto malformed = RefusalOf(bad_line);
  EXPECT_EQ(malformed.cause, Cause::kBadRequest);
  EXPECT_EQ(malformed.status, 400);
  EXPECT_EQ(malformed.error, "bad method");
  EXPECT_EQ(malformed.message_bytes, bad_line.size());
  EXPECT_EQ(malformed.remote.address, "127.0.0.1");
  EXPECT_EQ(RefusalOf("PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n").error, "bad Content-Length");

  const auto header = RefusalOf("GET / HTTP/1.1\r\nA: " + std::string(600, 'a'));
  EXPECT_EQ(header.cause, Cause::kHeaderTooLarge);
  EXPECT_EQ(header.status, 431);
  EXPECT_FALSE(header.error.empty());
  EXPECT_EQ(header.max_header_bytes, 512U);

  const auto body = RefusalOf("PUT / HTTP/1.1\r\nContent-Length: 65\r\n\r\n");
  EXPECT_EQ(body.cause, Cause::kBodyTooLarge);
  EXPECT_EQ(body.status, 413);
  EXPECT_EQ(body.error, "body limit exceeded");
  EXPECT_EQ(body.max_body_bytes, 64U);

  const std::string incomplete = "GET / HTTP/1.1\r\nA: ";
  const auto timeout = RefusalOf(incomplete);
  EXPECT_EQ(timeout.cause, Cause::kRequestTimeout);
  EXPECT_EQ(timeout.status, 408);
  EXPECT_EQ(timeout.message_bytes, incomplete.size());
}

TEST_F(InputRefusalTest, TellsOldLimitsOfARequestFromThoseOfTheServer) {
  Start({.max_body_bytes = 64});
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  socket.ReadUntil("answered");
  // The server has begun to read the request when it says so.
  socket.Send("PUT / HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
  socket.ReadUntil("100 Continue\r\n\r\n");
  server_->SetLimits({.max_body_bytes = 1024});
  socket.Send("41\r\n" + std::string(65, 'b') + "\r\n0\r\n\r\n");
  EXPECT_NE(socket.ReadUntilClosed().find("HTTP/1.1 413"), std::string::npos);
  const auto refusal = refusals_.Pop();
  ASSERT_TRUE(refusal.has_value());
  EXPECT_EQ(refusal->max_body_bytes, 64U);
  EXPECT_TRUE(refusal->limits_outdated);
  EXPECT_EQ(refusal->handled_requests, 1U);

  const auto fresh = RefusalOf("PUT / HTTP/1.1\r\nContent-Length: 1025\r\n\r\n");
  EXPECT_FALSE(fresh.limits_outdated);
  EXPECT_EQ(fresh.handled_requests, 0U);
}

TEST_F(InputRefusalTest, TellsOfConnectionsBeyondTheLimit) {
  Start({.max_connections = 1});
  auto first = RawSocket::Connect(endpoint_);
  // A connection without a request that is handled would give way.
  first.Send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto held = held_.Pop();
  ASSERT_TRUE(held.has_value());
  const auto refusal = RefusalOf("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(refusal.cause, Cause::kTooManyConnections);
  EXPECT_EQ(refusal.status, 503);
  EXPECT_EQ(refusal.max_connections, 1U);
}

}  // namespace
}  // namespace heatherspan
