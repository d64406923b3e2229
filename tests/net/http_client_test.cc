#include "net/http_client.h"

#include <gtest/gtest.h>

#include <string>

#include "blocking_queue.h"
#include "fmt/format.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

constexpr auto kLong = std::chrono::seconds(10);

/// A client whose server is a listener that the test scripts.
class HttpClientTest : public testing::Test {
 protected:
  ~HttpClientTest() override {
    client_.reset();
    workers_.Stop();
  }

  auto Send(HttpRequest request = {}, Duration timeout = kLong)
      -> std::shared_ptr<HttpClient::Exchange> {
    return client_->Send(listener_.endpoint(), std::move(request), timeout,
                         [this](HttpResult result) { results_.Push(std::move(result)); });
  }

  /// The result of an exchange that the server answers with these bytes and a close.
  auto ResultOf(std::string_view response) -> HttpResult {
    Send();
    auto socket = listener_.Accept();
    socket.ReadUntil("\r\n\r\n");
    socket.Send(response);
    socket.Close();
    return results_.Pop().value_or(HttpResult{absl::InternalError("no result"), {}, {}});
  }

  BlockingQueue<HttpResult> results_;
  RawListener listener_;
  WorkerPool workers_{2};
  std::unique_ptr<HttpClient> client_ = std::make_unique<HttpClient>(
      workers_, HttpClient::Limits{.max_connections_per_endpoint = 2, .max_response_bytes = 64});
};

// Guards against an exchange that lasts until its deadline although the response has broken off:
// the peer has ended its side and reads no more of the request.
TEST_F(HttpClientTest, ATruncatedResponseEndsAnExchangeWhoseRequestIsBeingWritten) {
  HttpRequest request;
  request.method = "POST";
  request.body = std::string(std::size_t{16} * 1024 * 1024, 'x');
  Send(request, std::chrono::seconds(3));
  auto socket = listener_.Accept();
  socket.ReadUntil("\r\n\r\n");
  socket.Send("HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nab");
  socket.Shutdown();
  const auto result = results_.Pop();
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(absl::IsDataLoss(result->status)) << result->status;
}

TEST_F(HttpClientTest, SendsOneRequestAndReusesItsConnection) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/a?b=c";
  request.headers = {{"X", "y"}, {"Content-Length", "7"}, {"Host", "other"}};
  request.body = "body";
  Send(request);
  auto socket = listener_.Accept();
  EXPECT_EQ(socket.ReadUntil("body"),
            "POST /a?b=c HTTP/1.1\r\nHost: " + listener_.endpoint().Text() +
                "\r\nX: y\r\nContent-Length: 4\r\n\r\nbody");
  socket.Send(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\nA: b\r\nContent-Length: 2\r\n\r\nno");
  const auto result = results_.Pop();
  ASSERT_TRUE(result.has_value());
  EXPECT_TRUE(result->status.ok()) << result->status;
  EXPECT_EQ(result->progress, SendProgress::kCompleted);
  EXPECT_EQ(result->response.status, 404);
  EXPECT_EQ(result->response.Header("a"), "b");
  EXPECT_EQ(result->response.body, "no");
  HttpRequest head;
  head.method = "HEAD";
  Send(head);
  EXPECT_NE(socket.ReadUntil("\r\n\r\n"), "");
  socket.Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n");
  EXPECT_TRUE(results_.Pop()->status.ok());
}

// Each of these must be told from a complete answer, and the request may have run.
TEST_F(HttpClientTest, IncompleteResponsesAreErrors) {
  struct Case {
    std::string response;
    absl::StatusCode code;
  };
  const std::vector<Case> cases{
      {"", absl::StatusCode::kUnavailable},
      {"HTTP/1.1 200 OK\r\nContent-Le", absl::StatusCode::kDataLoss},
      {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", absl::StatusCode::kDataLoss},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
       absl::StatusCode::kDataLoss},
      {"HTTP/1.1 200 OK\r\n\r\nuntil close", absl::StatusCode::kDataLoss},
      {"nonsense\r\n\r\n", absl::StatusCode::kDataLoss},
      {"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n", absl::StatusCode::kResourceExhausted},
  };
  for (const auto& [response, code] : cases) {
    const auto result = ResultOf(response);
    EXPECT_EQ(result.status.code(), code) << response << "\n" << result.status;
    EXPECT_EQ(result.progress, SendProgress::kWritten) << response;
  }
}

// Guards against a peer in trouble whose status is no status of HTTP, or whose answer never comes
// behind informational ones, and whose answer passes for one.
TEST_F(HttpClientTest, AStatusThatIsNoneIsNoAnswer) {
  for (const auto* status : {"000", "001", "099", "101", "600", "999"}) {
    const auto result =
        ResultOf(fmt::format("HTTP/1.1 {} X\r\nContent-Length: 2\r\n\r\nab", status));
    EXPECT_EQ(result.status.code(), absl::StatusCode::kDataLoss) << status << result.status;
    EXPECT_EQ(result.progress, SendProgress::kWritten) << status;
    EXPECT_NE(result.response.status, 0) << status;
  }
  std::string endless;
  for (int i = 0; i < 17; ++i) endless += "HTTP/1.1 100 Continue\r\n\r\n";
  EXPECT_EQ(ResultOf(endless).status.code(), absl::StatusCode::kDataLoss);
  for (const int status : {200, 404, 599}) {
    const auto result = ResultOf(fmt::format(
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 {} X\r\nContent-Length: 0\r\n\r\n", status));
    EXPECT_TRUE(result.status.ok()) << result.status;
    EXPECT_EQ(result.response.status, status);
  }
}

TEST_F(HttpClientTest, NothingIsWrittenWithoutAConnection) {
  HttpRequest injected;
  injected.headers = {{"A", "b\r\nC: d"}};
  Send(injected);
  EXPECT_EQ(results_.Pop()->status.code(), absl::StatusCode::kInvalidArgument);
  injected.headers.clear();
  injected.target = "/ HTTP/1.1\r\n\r\n";
  Send(injected);
  EXPECT_EQ(results_.Pop()->status.code(), absl::StatusCode::kInvalidArgument);
  Endpoint closed;
  {
    const RawListener gone;
    closed = gone.endpoint();
  }
  const auto result = client_->SendAndWait(closed, {}, kLong);
  EXPECT_EQ(result.status.code(), absl::StatusCode::kUnavailable) << result.status;
  EXPECT_EQ(result.progress, SendProgress::kNothingWritten);
}

TEST_F(HttpClientTest, RefusesRequestsBeyondTheConnectionLimit) {
  Send();
  Send();
  Send();
  const auto result = results_.Pop();
  ASSERT_TRUE(result.has_value());
  EXPECT_EQ(result->status.code(), absl::StatusCode::kResourceExhausted);
  EXPECT_EQ(result->progress, SendProgress::kNothingWritten);
}

// Guards against a late answer that reaches the next request on the connection.
TEST_F(HttpClientTest, AbandonedExchangesCloseTheirConnection) {
  Send({}, std::chrono::milliseconds(300));
  auto late = listener_.Accept();
  const auto timed_out = results_.Pop();
  EXPECT_EQ(timed_out->status.code(), absl::StatusCode::kDeadlineExceeded) << timed_out->status;
  late.ReadUntilClosed();
  late.Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");

  const auto exchange = Send();
  auto cancelled = listener_.Accept();
  cancelled.ReadUntil("\r\n\r\n");
  exchange->Cancel();
  const auto result = results_.Pop();
  EXPECT_EQ(result->status.code(), absl::StatusCode::kCancelled);
  EXPECT_EQ(result->progress, SendProgress::kWritten);
  EXPECT_EQ(cancelled.ReadUntilClosed(), "");
  exchange->Cancel();

  EXPECT_EQ(ResultOf("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown").response.body, "own");
}

// Guards against an answer that nobody asked for and that the next request would take for its own.
TEST_F(HttpClientTest, UnaskedBytesCloseTheConnection) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
  Send();
  auto first = listener_.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Send(answer + "1" + answer + "x");
  EXPECT_EQ(results_.Pop()->response.body, "1");
  Send();
  auto second = listener_.Accept();
  second.ReadUntil("\r\n\r\n");
  second.Send(answer + "2");
  EXPECT_EQ(results_.Pop()->response.body, "2");
  second.Send(answer + "x");
  Send();
  auto third = listener_.Accept();
  third.ReadUntil("\r\n\r\n");
  third.Send(answer + "3");
  EXPECT_EQ(results_.Pop()->response.body, "3");
}

TEST_F(HttpClientTest, ReplacesAConnectionThatClosedWhileIdle) {
  Send();
  auto first = listener_.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Send("HTTP/1.1 204 No Content\r\n\r\n");
  EXPECT_EQ(results_.Pop()->response.status, 204);
  first.Close();
  EXPECT_EQ(ResultOf("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").response.status, 200);
}

// A server that takes the request and dies must never see the client send it again.
TEST_F(HttpClientTest, NeverSendsARequestTwice) {
  Send();
  auto first = listener_.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Send("HTTP/1.1 204 No Content\r\n\r\n");
  results_.Pop();
  Send();
  EXPECT_NE(first.ReadUntil("\r\n\r\n"), "");
  first.Close();
  const auto lost = results_.Pop();
  EXPECT_EQ(lost->status.code(), absl::StatusCode::kUnavailable) << lost->status;
  EXPECT_EQ(lost->progress, SendProgress::kWritten);
  HttpRequest marked;
  marked.target = "/marked";
  Send(marked);
  EXPECT_EQ(listener_.Accept().ReadUntil("\r\n\r\n").substr(0, 11), "GET /marked");
}

TEST_F(HttpClientTest, EachOfManyCallersGetsItsOwnAnswer) {
  constexpr int kCalls = 2000;
  constexpr int kAtOnce = 50;
  HttpServer server(workers_, {},
                    [](const HttpRequest& request, const HttpServer::Responder& respond) {
                      HttpResponse response;
                      response.body = request.body.text();
                      respond(std::move(response));
                    });
  const auto endpoint = *server.Listen({"127.0.0.1", 0});
  HttpClient client(workers_, {});
  BlockingQueue<std::pair<std::string, HttpResult>> answers;
  int sent = 0;
  const auto send = [&] {
    HttpRequest request;
    request.method = "POST";
    // Some bodies are longer than the buffers.
    request.body = std::to_string(sent) + std::string(sent % 7 == 0 ? 40'000 : 0, 'x');
    ++sent;
    client.Send(endpoint, request, kLong, [&answers, body = request.body](HttpResult result) {
      answers.Push({body.text(), std::move(result)});
    });
  };
  while (sent < kAtOnce) send();
  for (int received = 0; received < kCalls; ++received) {
    const auto answer = answers.Pop();
    ASSERT_TRUE(answer.has_value());
    ASSERT_TRUE(answer->second.status.ok()) << answer->second.status;
    ASSERT_EQ(answer->first, answer->second.response.body);
    if (sent < kCalls) send();
  }
}

/// A client with the options that gateways use.
class GatewayHttpClientTest : public HttpClientTest {
 protected:
  GatewayHttpClientTest() {
    HttpClient::Limits limits;
    limits.accept_unframed_responses = true;
    limits.forward_host = true;
    limits.correlation_header = "Id";
    limits.unacknowledged_timeout = std::chrono::seconds(5);
    client_ = std::make_unique<HttpClient>(workers_, limits);
  }

  static auto WithId(const std::string& id) -> HttpRequest {
    HttpRequest request;
    request.headers = {{"Id", id}, {"Host", "h.example"}};
    return request;
  }
};

// Guards against the answer to one request reaching another: a second response to the first request
// comes when the connection has been taken for the second.
TEST_F(GatewayHttpClientTest, DropsAResponseToAnotherRequest) {
  Send(WithId("1"));
  auto socket = listener_.Accept();
  EXPECT_NE(socket.ReadUntil("\r\n\r\n").find("Host: h.example\r\n"), std::string::npos);
  socket.Send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na");
  EXPECT_EQ(results_.Pop()->response.body, "a");
  Send(WithId("2"));
  socket.ReadUntil("\r\n\r\n");
  socket.Send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\nb");
  socket.Send("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nc");
  EXPECT_EQ(results_.Pop()->response.body, "c");
  // The connection is out of step and must not be used again.
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n"), "");
}

// Guards against a peer that keeps a worker busy with responses to other requests, one after the
// other until the exchange's time is over.
TEST_F(GatewayHttpClientTest, ResponsesToOtherRequestsWithoutEndAreCutOff) {
  constexpr std::size_t kMaxAccepted = std::size_t{16} * 1024 * 1024;
  Send(WithId("2"));
  auto socket = listener_.Accept();
  socket.ReadUntil("\r\n\r\n");
  std::string piece;
  while (piece.size() < 16384) piece += "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1\r\n\r\na";
  std::size_t accepted = 0;
  while (accepted < kMaxAccepted && socket.Send(piece)) accepted += piece.size();
  EXPECT_LT(accepted, kMaxAccepted);
  const auto result = results_.Pop();
  EXPECT_TRUE(absl::IsDataLoss(result->status)) << result->status;
  EXPECT_EQ(result->progress, SendProgress::kWritten);
}

// Guards against a complete response that is thrown away because its end is that of the connection,
// and against one that was cut and passes for complete.
TEST_F(GatewayHttpClientTest, TheEndOfTheConnectionEndsAnUnframedResponse) {
  const auto result = ResultOf("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
  EXPECT_TRUE(result.status.ok()) << result.status;
  EXPECT_EQ(result.response.body, "all of it");
  EXPECT_FALSE(ResultOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall").status.ok());
  EXPECT_FALSE(ResultOf("HTTP/1.1 200 OK\r\nContent-Le").status.ok());
}

// Guards against a response that was cut by a reset and passes for complete, because the write of
// the request has taken the notice of the reset and the read sees an orderly end.
TEST_F(GatewayHttpClientTest, AResetThatAWriteLearnsOfCompletesNoUnframedResponse) {
  constexpr int kRounds = 5;
  for (int i = 0; i < kRounds; ++i) {
    auto request = WithId("1");
    request.body = std::string(std::size_t{64} * 1024 * 1024, 'x');
    Send(request);
    auto socket = listener_.Accept();
    socket.ReadUntil("\r\n\r\n");
    socket.Send("HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart");
    // What it has not read makes the close a reset.
    socket.Close();
    const auto result = results_.Pop();
    ASSERT_TRUE(result.has_value());
    EXPECT_FALSE(result->status.ok()) << "round " << i << ": " << result->response.body;
  }
}

// Guards against a head that breaks off at any byte and passes for an answer without a body.
TEST_F(GatewayHttpClientTest, AHeadThatBreaksOffIsNoAnswer) {
  const std::string head =
      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nContent-Type: a/b\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    const auto result = ResultOf(head.substr(0, size));
    EXPECT_FALSE(result.status.ok()) << size;
    EXPECT_EQ(result.progress, SendProgress::kWritten) << size;
  }
}

// Guards against a request that can't be repeated on a connection which its target may have
// dropped.
TEST_F(GatewayHttpClientTest, IdleConnectionsCanBeLeftOut) {
  Send(WithId("1"));
  auto first = listener_.Accept();
  first.ReadUntil("\r\n\r\n");
  first.Send("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(results_.Pop()->status.ok());
  client_->Send(listener_.endpoint(), WithId("2"), kLong, {.max_idle = Duration(-1)},
                [this](HttpResult result) { results_.Push(std::move(result)); });
  auto second = listener_.Accept();
  EXPECT_NE(second.ReadUntil("\r\n\r\n"), "");
  second.Send("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(results_.Pop()->status.ok());
}

// Guards against a connection that is kept for longer than its target says.
TEST_F(GatewayHttpClientTest, KeepAliveLimitsReuse) {
  Send(WithId("1"));
  auto socket = listener_.Accept();
  socket.ReadUntil("\r\n\r\n");
  socket.Send("HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(results_.Pop()->status.ok());
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n"), "");
}

}  // namespace
}  // namespace heatherspan
