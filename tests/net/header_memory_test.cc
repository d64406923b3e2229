#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/memory_account.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

// Fields of 6 bytes take more than ten times that.
auto ManyFields() -> std::string {
  std::string fields;
  for (int i = 0; i < 2500; ++i) fields += "a: b\r\n";
  return fields;
}

class HeaderMemoryTest : public testing::Test {
 protected:
  const std::shared_ptr<MemoryAccount> account_ =
      std::make_shared<MemoryAccount>(std::size_t{128} * 1024);
  WorkerPool workers_{1};
};

TEST_F(HeaderMemoryTest, ARequestWhoseFieldsDoNotFitIsRefusedAsNotRun) {
  int handled = 0;
  HttpServer server(
      workers_, {},
      [&](const HttpRequest& /*request*/, const HttpServer::Responder& respond) {
        ++handled;
        respond(HttpResponse());
      },
      account_);
  const auto endpoint = *server.Listen({"127.0.0.1", 0});
  for (const std::string end : {"\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nab"}) {
    const auto socket = RawSocket::Connect(endpoint);
    socket.Send("GET / HTTP/1.1\r\n" + ManyFields() + end);
    EXPECT_EQ(socket.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 503") << end.size();
  }
  const auto socket = RawSocket::Connect(endpoint);
  socket.Send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_EQ(socket.ReadUntil("\r\n").substr(0, 12), "HTTP/1.1 200");
  workers_.Stop();
  EXPECT_EQ(handled, 1);
}

TEST_F(HeaderMemoryTest, AnAnswerWhoseFieldsDoNotFitFails) {
  const RawListener listener;
  std::thread peer([&] {
    const auto socket = listener.Accept();
    socket.ReadUntil("\r\n\r\n");
    socket.Send("HTTP/1.1 200 OK\r\n" + ManyFields() + "Content-Length: 0\r\n\r\n");
  });
  HttpClient client(workers_, {}, account_);
  const auto result = client.SendAndWait(listener.endpoint(), {}, std::chrono::seconds(10));
  peer.join();
  EXPECT_EQ(result.status.code(), absl::StatusCode::kResourceExhausted) << result.status;
  workers_.Stop();
  EXPECT_EQ(account_->total(), 0U);
}

}  // namespace
}  // namespace heatherspan
