#include "net/exchange_trace.h"

#include <gtest/gtest.h>

#include <string>

#include "blocking_queue.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

constexpr auto kLong = std::chrono::seconds(10);
constexpr std::size_t kMoreThanSocketsTake = std::size_t{64} * 1024 * 1024;

class ExchangeTraceTest : public testing::Test {
 protected:
  ~ExchangeTraceTest() override {
    client_.reset();
    workers_.Stop();
  }

  auto Send(const std::string& id, std::size_t body_bytes = 0, Duration timeout = kLong) -> void {
    HttpRequest request;
    request.headers = {{"Id", id}};
    request.body = std::string(body_bytes, 'x');
    client_->Send(listener_.endpoint(), request, timeout,
                  [this](const HttpResult& result) { traces_.Push(result.trace); });
  }
  auto Trace() -> ExchangeTrace { return traces_.Pop().value_or(ExchangeTrace()); }

  static auto AnswerTo(const std::string& id) -> std::string {
    return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: " + id + "\r\n\r\n";
  }

  BlockingQueue<ExchangeTrace> traces_;
  RawListener listener_;
  WorkerPool workers_{2};
  std::unique_ptr<HttpClient> client_ =
      std::make_unique<HttpClient>(workers_, HttpClient::Limits{.correlation_header = "Id"});
};

TEST_F(ExchangeTraceTest, TellsWhoseAnswersCameOnWhichConnection) {
  Send("1");
  auto socket = listener_.Accept();
  const auto request = socket.ReadUntil("\r\n\r\n");
  socket.Send(AnswerTo("1"));
  const auto first = Trace();
  EXPECT_GT(first.connection.value(), 0U);
  EXPECT_EQ(first.earlier_exchanges, 0);
  EXPECT_EQ(first.request_bytes, request.size());
  EXPECT_EQ(first.written_bytes, request.size());
  EXPECT_EQ(first.identity, AnswerIdentity::kThisRequest);
  EXPECT_TRUE(first.events.Contains(ExchangeEvent::kWrite));
  Send("2");
  socket.ReadUntil("\r\n\r\n");
  socket.Send(AnswerTo("1") + AnswerTo("1") + AnswerTo("2"));
  const auto second = Trace();
  EXPECT_EQ(second.connection, first.connection);
  EXPECT_EQ(second.earlier_exchanges, 1);
  EXPECT_EQ(second.foreign_answers, 2);
  EXPECT_TRUE(second.events.Contains(ExchangeEvent::kOtherAnswer));
  EXPECT_EQ(second.identity, AnswerIdentity::kThisRequest);
  Send("3");
  auto other = listener_.Accept();
  other.ReadUntil("\r\n\r\n");
  other.Send("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n");
  const auto third = Trace();
  EXPECT_NE(third.connection, first.connection);
  EXPECT_EQ(third.identity, AnswerIdentity::kUnnamed);
}

TEST_F(ExchangeTraceTest, TellsTheOrderOfWriteAnswerAndEnd) {
  Send("1", 0, std::chrono::milliseconds(300));
  EXPECT_EQ(Trace().events.Text(), "write,deadline");
  const auto unanswered = listener_.Accept();
  Send("2", kMoreThanSocketsTake, std::chrono::milliseconds(300));
  const auto partial = Trace();
  EXPECT_EQ(partial.events.Text(), "deadline");
  EXPECT_GT(partial.written_bytes, 0U);
  EXPECT_LT(partial.written_bytes, partial.request_bytes);
  EXPECT_EQ(partial.identity, AnswerIdentity::kNoAnswer);
  const auto unread = listener_.Accept();
  Send("3", kMoreThanSocketsTake);
  const auto early = listener_.Accept();
  early.Send(AnswerTo("3"));
  EXPECT_EQ(Trace().events.Text(), "answer");
  Send("4", kMoreThanSocketsTake);
  // Unread bytes turn the close into a reset. Only the first of write and read learns of it.
  auto closed = listener_.Accept();
  closed.ReadUntil("\r\n\r\n");
  closed.Close();
  const auto reset = Trace().events.Text();
  EXPECT_TRUE(reset == "reset" || reset == "close" || reset == "write-failed,close") << reset;
}

}  // namespace
}  // namespace heatherspan
