#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "net/http_server.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

auto StatusAfter(const std::string& bytes, const HttpServer::Limits& limits) -> std::string {
  WorkerPool workers(1);
  HttpServer server(workers, limits,
                    [](const HttpRequest& /*request*/, const HttpServer::Responder& respond) {
                      respond(HttpResponse());
                    });
  const auto socket = RawSocket::Connect(*server.Listen({"127.0.0.1", 0}));
  socket.Send(bytes);
  auto answer = socket.ReadUntil("\r\n").substr(0, 12);
  workers.Stop();
  return answer;
}

constexpr auto kShort = std::chrono::milliseconds(20);

TEST(RequestTimeouts, ABodyThatStopsIsRefused) {
  const HttpServer::Limits limits{.body_timeout = kShort};
  EXPECT_EQ(StatusAfter("PUT / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", limits), "HTTP/1.1 408");
  EXPECT_EQ(
      StatusAfter("PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: b\r\n",
                  limits),
      "HTTP/1.1 408");
}

TEST(RequestTimeouts, AHeaderThatStopsIsRefused) {
  EXPECT_EQ(StatusAfter("GET / HTTP/1.1\r\nA: ", {.request_timeout = kShort}), "HTTP/1.1 408");
}

}  // namespace
}  // namespace heatherspan
