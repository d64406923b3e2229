#include "net/http_server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <latch>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "blocking_queue.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

auto AnyPort() -> Endpoint { return {"127.0.0.1", 0}; }

struct Call {
  HttpRequest request;
  HttpServer::Responder respond;
};

/// A server whose requests the test answers.
class HttpServerTest : public testing::Test {
 protected:
  ~HttpServerTest() override { workers_.Stop(); }

  auto Start(HttpServer::Limits limits = {}) -> void {
    server_ = std::make_unique<HttpServer>(
        workers_, limits, [this](HttpRequest request, HttpServer::Responder respond) {
          calls_.Push({std::move(request), std::move(respond)});
        });
    const auto bound = server_->Listen(AnyPort());
    ASSERT_TRUE(bound.ok()) << bound.status();
    endpoint_ = *bound;
  }

  /// Starts a server that hands over several requests of a connection and tells `gone_` of each
  /// whose caller has gone.
  auto StartPipelined(std::size_t max_pipelined) -> void {
    HttpServer::Limits limits;
    limits.max_pipelined = max_pipelined;
    limits.watch_disconnects = true;
    server_ = std::make_unique<HttpServer>(
        workers_, limits, [this](HttpRequest request, HttpServer::Responder respond) {
          request.disconnect->on_disconnect = [this, target = request.target] {
            gone_.Push(target);
          };
          calls_.Push({std::move(request), std::move(respond)});
        });
    endpoint_ = *server_->Listen(AnyPort());
  }

  auto PopCalls(std::size_t count) -> std::vector<Call> {
    std::vector<Call> calls;
    calls.reserve(count);
    while (calls.size() < count) calls.push_back(*calls_.Pop());
    return calls;
  }

  auto Exchange(std::string_view input) -> std::string {
    auto socket = RawSocket::Connect(endpoint_);
    socket.Send(input);
    return socket.ReadUntilClosed();
  }

  BlockingQueue<Call> calls_;
  BlockingQueue<std::string> gone_;
  WorkerPool workers_{2};
  std::unique_ptr<HttpServer> server_;
  Endpoint endpoint_;
};

auto Answer(std::string body) -> HttpResponse {
  HttpResponse response;
  response.body = std::move(body);
  return response;
}

TEST_F(HttpServerTest, HandsOverTheWholeRequest) {
  Start();
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send("POST /v1/x?a=1 HTTP/1.1\r\nHost: h\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n");
  socket.Send("3\r\nabc\r\n2\r\nde\r\n0\r\nA-Trailer: t\r\n\r\n");
  auto call = calls_.Pop();
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->request.method, "POST");
  EXPECT_EQ(call->request.target, "/v1/x?a=1");
  EXPECT_EQ(call->request.Header("a"), "b");
  EXPECT_EQ(call->request.Header("A-Trailer"), "") << "a trailer must not pass for a header";
  EXPECT_EQ(call->request.body, "abcde");
  EXPECT_EQ(call->request.remote.address, "127.0.0.1");
  EXPECT_EQ(server_->active_requests(), 1U);
  auto response = Answer("done");
  response.headers = {{"X", "y"}, {"Content-Length", "999"}, {"Z", "a\r\nInjected: b"}};
  call->respond(response);
  EXPECT_EQ(socket.ReadUntil("done"), "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\ndone");
}

// Guards against crossed answers on a connection.
TEST_F(HttpServerTest, HandlesPipelinedRequestsOneAfterTheOther) {
  Start();
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send(
      "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\nConnection: close\r\n\r\n");
  for (const std::string target : {"/1", "/2", "/3"}) {
    auto call = calls_.Pop();
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(call->request.target, target);
    EXPECT_EQ(server_->active_requests(), 1U);
    EXPECT_EQ(calls_.size(), 0U);
    // A second answer to the same request must be dropped.
    call->respond(Answer("answer" + target + "\n"));
    call->respond(Answer("second"));
  }
  const auto output = socket.ReadUntilClosed();
  EXPECT_LT(output.find("answer/1\n"), output.find("answer/2\n"));
  EXPECT_LT(output.find("answer/2\n"), output.find("answer/3\n"));
  EXPECT_EQ(output.find("second"), std::string::npos);
}

auto Get(const std::string& target, const std::string& header = "") -> std::string {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + header + "\r\n";
}

// Guards against crossed answers of requests that are handled at once, and against a request that
// waits for the work of the one before it.
TEST_F(HttpServerTest, AnswersPipelinedRequestsInOrder) {
  StartPipelined(3);
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send(Get("/1") + Get("/2") + Get("/3") + Get("/4", "Connection: close\r\n"));
  const auto calls = PopCalls(3);
  EXPECT_EQ(calls_.size(), 0U);
  for (const int i : {2, 1, 0}) calls[i].respond(Answer("answer" + calls[i].request.target + "\n"));
  const auto last = calls_.Pop();
  EXPECT_EQ(last->request.target, "/4");
  last->respond(Answer("answer/4\n"));
  const auto output = socket.ReadUntilClosed();
  std::size_t position = 0;
  for (const auto* body : {"answer/1\n", "answer/2\n", "answer/3\n", "answer/4\n"}) {
    const auto found = output.find(body);
    EXPECT_NE(found, std::string::npos) << body;
    EXPECT_LE(position, found);
    position = found;
  }
  EXPECT_EQ(output.find("Connection: close"), output.rfind("Connection: close"));
}

// Guards against a request that is sent again by its caller although it was handed over: callers
// take requests behind a response that closes the connection for unread.
TEST_F(HttpServerTest, HandsOverNothingBehindAResponseThatCloses) {
  StartPipelined(8);
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send(Get("/1") + Get("/2", "Connection: close\r\n") + Get("/3"));
  auto first = calls_.Pop();
  auto second = calls_.Pop();
  first->respond(Answer("first answer"));
  second->respond(Answer("second answer"));
  const auto output = socket.ReadUntilClosed();
  EXPECT_NE(output.find("second answer"), std::string::npos);
  EXPECT_EQ(calls_.size(), 0U);
}

// Guards against the same at a planned stop: the first answer must not close the connection while
// the second request is handled.
TEST_F(HttpServerTest, ClosesBehindTheLastOfPipelinedRequests) {
  StartPipelined(2);
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send(Get("/1") + Get("/2") + Get("/3"));
  auto first = calls_.Pop();
  auto second = calls_.Pop();
  server_->BeginClosing();
  first->respond(Answer("first answer"));
  EXPECT_EQ(socket.ReadUntil("first answer").find("Connection: close"), std::string::npos);
  second->respond(Answer("second answer"));
  EXPECT_NE(socket.ReadUntilClosed().find("Connection: close"), std::string::npos);
  EXPECT_EQ(calls_.size(), 0U);
  EXPECT_EQ(server_->active_requests(), 0U);
}

// Guards against a handler's error that closes the connection in front of a request that is
// handled.
TEST_F(HttpServerTest, AFailedHandlerClosesBehindTheLastRequest) {
  StartPipelined(2);
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send(Get("/1") + Get("/2"));
  auto first = calls_.Pop();
  auto second = calls_.Pop();
  first.reset();  // Drops the responder.
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n").find("Connection: close"), std::string::npos);
  second->respond(Answer("second answer"));
  EXPECT_NE(socket.ReadUntilClosed().find("second answer"), std::string::npos);
}

// Guards against work that goes on for a caller who left with several requests outstanding, also if
// some of them are not handed over yet.
TEST_F(HttpServerTest, ADisconnectEndsAllPipelinedRequests) {
  StartPipelined(2);
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send(Get("/1") + Get("/2") + Get("/3") + Get("/4"));
  auto first = calls_.Pop();
  auto second = calls_.Pop();
  socket.Close();
  EXPECT_EQ(gone_.Pop(), "/1");
  EXPECT_EQ(gone_.Pop(), "/2");
  first->respond(Answer("too late"));
  second->respond(Answer("too late"));
  EXPECT_EQ(calls_.size(), 0U);
  EXPECT_EQ(server_->active_requests(), 0U);
}

// Guards against memory that grows with a caller who pipelines without end and reads nothing.
TEST_F(HttpServerTest, EndlessPipeliningIsBounded) {
  StartPipelined(4);
  auto socket = RawSocket::Connect(endpoint_);
  const auto requests = Get("/endless", "X-Filler: " + std::string(2000, 'x') + "\r\n");
  // The buffers of both sockets hold some megabytes; the server itself holds its read-ahead.
  constexpr std::size_t kMaxAccepted = std::size_t{32} * 1024 * 1024;
  std::size_t accepted = 0;
  while (accepted < kMaxAccepted && socket.TrySend(requests)) accepted += requests.size();
  EXPECT_LT(accepted, kMaxAccepted);
  const auto calls = PopCalls(4);
  EXPECT_EQ(calls_.size(), 0U);
}

// Guards against pipelined requests whose pieces are read as something else.
TEST_F(HttpServerTest, PipelinedRequestsDoNotDependOnThePieces) {
  StartPipelined(4);
  const std::string input = Get("/1") +
                            "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody" +
                            "POST /3 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "2\r\nab\r\n0\r\n\r\n" +
                            Get("/4", "Connection: close\r\n");
  for (std::size_t split = 1; split < input.size(); ++split) {
    auto socket = RawSocket::Connect(endpoint_);
    socket.Send(std::string_view(input).substr(0, split));
    // The server has read the first piece once it has handed over what is complete in it.
    std::string output;
    std::vector<std::string> seen;
    const auto answer_next = [&] {
      auto call = calls_.Pop();
      ASSERT_TRUE(call.has_value()) << split;
      seen.push_back(call->request.target + call->request.body.text());
      call->respond(Answer("answer" + call->request.target + "\n"));
    };
    if (split >= Get("/1").size()) answer_next();
    socket.Send(std::string_view(input).substr(split));
    while (seen.size() < 4) answer_next();
    output = socket.ReadUntilClosed();
    EXPECT_EQ(seen, (std::vector<std::string>{"/1", "/2body", "/3ab", "/4"})) << split;
    EXPECT_LT(output.find("answer/1"), output.find("answer/2")) << split;
    EXPECT_LT(output.find("answer/2"), output.find("answer/3")) << split;
    EXPECT_LT(output.find("answer/3"), output.find("answer/4")) << split;
  }
}

TEST_F(HttpServerTest, RefusesWhatIsBeyondItsLimits) {
  Start({.max_header_bytes = 512,
         .max_body_bytes = 64,
         .max_connections = 2,
         .request_timeout = std::chrono::milliseconds(20)});
  EXPECT_EQ(Exchange("GET / HTTP/1.1\r\nA: " + std::string(600, 'a')).substr(0, 12),
            "HTTP/1.1 431");
  EXPECT_EQ(Exchange("GET /" + std::string(600, 'a')).substr(0, 12), "HTTP/1.1 431");
  EXPECT_EQ(Exchange("PUT / HTTP/1.1\r\nContent-Length: 65\r\n\r\n").substr(0, 12), "HTTP/1.1 413");
  EXPECT_EQ(Exchange("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" +
                     std::string(65, 'a') + "\r\n0\r\n\r\n")
                .substr(0, 12),
            "HTTP/1.1 413");
  EXPECT_EQ(Exchange("GET / HTTP/1.1\r\nA: ").substr(0, 12), "HTTP/1.1 408");
  const auto counters = server_->counters();
  EXPECT_EQ(counters.header_too_large, 2U);
  EXPECT_EQ(counters.body_too_large, 2U);
  EXPECT_EQ(counters.request_timeout, 1U);
  EXPECT_EQ(calls_.size(), 0U);
}

TEST_F(HttpServerTest, RefusesConnectionsBeyondTheLimit) {
  Start({.max_connections = 1});
  auto first = RawSocket::Connect(endpoint_);
  first.Send("GET / HTTP/1.1\r\n\r\n");
  auto call = calls_.Pop();
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(Exchange("GET / HTTP/1.1\r\n\r\n").substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(server_->counters().too_many_connections, 1U);
  call->respond(Answer("first"));
  EXPECT_NE(first.ReadUntil("first").find("200 OK"), std::string::npos);
}

// Guards against messages whose end this server and another one could see at different places.
TEST_F(HttpServerTest, AnswersMalformedInputWith400) {
  Start();
  const std::vector<std::string> inputs{
      "nonsense\r\n\r\n",
      "GET / HTTP/2.7\r\n\r\n",
      "GET / HTTP/1.1\r\nno colon\r\n\r\n",
      "PUT / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "PUT / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
      "PUT / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
      "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
  };
  for (const auto& input : inputs) {
    EXPECT_EQ(Exchange(input).substr(0, 12), "HTTP/1.1 400") << input;
  }
  EXPECT_EQ(server_->counters().bad_request, inputs.size());
  EXPECT_EQ(calls_.size(), 0U);
}

TEST_F(HttpServerTest, SurvivesMutatedInput) {
  constexpr unsigned kSeed = 20260412;
  constexpr int kRounds = 200;
  RecordProperty("seed", static_cast<int>(kSeed));
  std::atomic<int> handled{0};
  HttpServer server(workers_, {.request_timeout = std::chrono::milliseconds(20)},
                    [&](const HttpRequest& /*request*/, const HttpServer::Responder& respond) {
                      ++handled;
                      auto response = Answer("x");
                      response.close = true;
                      respond(response);
                    });
  endpoint_ = *server.Listen(AnyPort());
  const std::string valid =
      "PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  std::mt19937 random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    auto input = valid;
    for (int change = 0; change < 3; ++change) {
      input[random() % input.size()] = static_cast<char>(random());
    }
    EXPECT_EQ(Exchange(input).substr(0, 9), "HTTP/1.1 ") << "seed " << kSeed << " round " << round;
  }
  EXPECT_EQ(Exchange(valid).substr(0, 12), "HTTP/1.1 200");
  const auto counters = server.counters();
  EXPECT_EQ(static_cast<std::size_t>(handled.load()) + counters.bad_request +
                counters.header_too_large + counters.body_too_large + counters.request_timeout,
            static_cast<std::size_t>(kRounds) + 1);
}

TEST_F(HttpServerTest, FollowsVersionMethodAndStatus) {
  Start();
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send("HEAD / HTTP/1.1\r\n\r\n");
  calls_.Pop()->respond(Answer("body"));
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n"), "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
  socket.Send("PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
  socket.Send("ab");
  auto response = Answer("none");
  response.status = 204;
  calls_.Pop()->respond(response);
  EXPECT_EQ(socket.ReadUntil("\r\n\r\n"), "HTTP/1.1 204 No Content\r\n\r\n");
  socket.Send("GET / HTTP/1.0\r\n\r\n");
  calls_.Pop()->respond(Answer("old"));
  EXPECT_EQ(socket.ReadUntilClosed(),
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nold");
}

TEST_F(HttpServerTest, AnswersWhenTheHandlerDropsItsResponder) {
  Start();
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send("GET / HTTP/1.1\r\n\r\n");
  calls_.Pop();
  EXPECT_EQ(socket.ReadUntilClosed().substr(0, 12), "HTTP/1.1 500");
}

// Guards a planned stop: it must not cut off a request in flight.
TEST_F(HttpServerTest, DrainFinishesRequestsAndClosesIdleConnections) {
  Start();
  auto idle = RawSocket::Connect(endpoint_);
  idle.Send("GET / HTTP/1.1\r\n\r\n");
  calls_.Pop()->respond(Answer("before"));
  idle.ReadUntil("before");
  auto busy = RawSocket::Connect(endpoint_);
  busy.Send("GET / HTTP/1.1\r\n\r\n");
  auto call = calls_.Pop();
  ASSERT_TRUE(call.has_value());
  server_->BeginDrain();
  EXPECT_EQ(idle.ReadUntilClosed(), "");
  call->respond(Answer("last"));
  EXPECT_EQ(busy.ReadUntilClosed(),
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nlast");
  EXPECT_EQ(server_->active_requests(), 0U);
}

TEST_F(HttpServerTest, NamesTheAddressItCannotListenOn) {
  Start();
  HttpServer second(workers_, {}, [](const HttpRequest&, const HttpServer::Responder&) {});
  const auto bound = second.Listen(endpoint_);
  EXPECT_EQ(bound.status().code(), absl::StatusCode::kUnavailable);
  EXPECT_NE(std::string(bound.status().message()).find(endpoint_.Text()), std::string::npos);
}

// Guards against work that goes on for a caller who has gone.
TEST_F(HttpServerTest, TellsTheHandlerThatTheCallerHasGone) {
  HttpServer::Limits limits;
  limits.watch_disconnects = true;
  BlockingQueue<bool> gone;
  server_ = std::make_unique<HttpServer>(
      workers_, limits, [&](HttpRequest request, HttpServer::Responder respond) {
        request.disconnect->on_disconnect = [&gone] { gone.Push(true); };
        calls_.Push({std::move(request), std::move(respond)});
      });
  endpoint_ = *server_->Listen(AnyPort());
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  auto call = calls_.Pop();
  ASSERT_TRUE(call.has_value());
  socket.Close();
  EXPECT_TRUE(gone.Pop().has_value());
  call->respond(Answer("too late"));
}

// Guards against requests that are sent on after their caller has gone: a server that is late reads
// them in front of the end of the connection.
TEST_F(HttpServerTest, DropsWhatItReadsAfterTheCallerHasClosed) {
  constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  const std::string body(std::size_t{32} * 1024, 'b');
  const std::string inputs[] = {std::string(kGet), std::string(kGet) + std::string(kGet),
                                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                                    std::to_string(body.size()) + "\r\n\r\n" + body};
  StartPipelined(4);
  for (const auto& input : inputs) {
    std::promise<void> resume;
    const auto resumed = resume.get_future().share();
    std::latch both_held(2);
    for (int i = 0; i < 2; ++i) {
      workers_.Post([&both_held, resumed] {
        both_held.count_down();
        resumed.wait();
      });
    }
    both_held.wait();
    auto socket = RawSocket::Connect(endpoint_);
    ASSERT_TRUE(socket.Send(input));
    socket.Close();
    const auto before = server_->counters().caller_gone;
    resume.set_value();
    while (server_->counters().caller_gone == before && calls_.size() == 0) {
      std::this_thread::yield();
    }
    EXPECT_EQ(calls_.size(), 0U);
  }
  EXPECT_EQ(server_->active_requests(), 0U);
}

// Guards against a further attempt for a caller whose leaving lies unread in the socket.
TEST_F(HttpServerTest, AHandlerSeesThatTheCallerHasClosedBeforeItIsTold) {
  HttpServer::Limits limits;
  limits.watch_disconnects = true;
  BlockingQueue<bool> started;
  BlockingQueue<bool> closed;
  BlockingQueue<std::pair<bool, bool>> seen;
  server_ = std::make_unique<HttpServer>(
      workers_, limits, [&](const HttpRequest& request, const HttpServer::Responder&) {
        const bool before = request.disconnect->has_closed();
        started.Push(true);
        closed.Pop();
        seen.Push({before, request.disconnect->has_closed()});
      });
  endpoint_ = *server_->Listen(AnyPort());
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(started.Pop().has_value());
  socket.Close();
  closed.Push(true);
  EXPECT_EQ(seen.Pop(), std::pair(false, true));
}

// Guards against a planned stop that cuts a request which was on its way over an idle connection.
TEST_F(HttpServerTest, ClosingAnswersWhatIsOnItsWay) {
  Start();
  auto socket = RawSocket::Connect(endpoint_);
  socket.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  calls_.Pop()->respond(Answer("a"));
  EXPECT_EQ(socket.ReadUntil("\r\n\r\na").find("Connection: close"), std::string::npos);
  server_->BeginClosing();
  server_->StopListening();
  socket.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  calls_.Pop()->respond(Answer("b"));
  EXPECT_NE(socket.ReadUntilClosed().find("Connection: close"), std::string::npos);
}

// Guards against limits of an older configuration on new connections.
TEST_F(HttpServerTest, LimitsChangeForNewConnections) {
  Start();
  HttpServer::Limits limits;
  limits.max_body_bytes = 2;
  server_->SetLimits(limits);
  EXPECT_NE(Exchange("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc").find("413"),
            std::string::npos);
}

}  // namespace
}  // namespace heatherspan
