#include "standins/target_host.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

#include "net/http_client.h"
#include "net/worker_pool.h"
#include "standins/answer_body.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetHostTest : public testing::Test {
 protected:
  TargetHostTest() : host_(context_, 1) {
    const TargetModel::Behaviour behaviour{.service_time = milliseconds(1), .cold_requests = 0};
    target_ = host_.Add("a", {"127.0.0.1", 0}, behaviour, 2).value();
    control_ = host_.ListenControl({"127.0.0.1", 0}).value();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~TargetHostTest() override {
    context_.stop();
    thread_.join();
  }

  auto Send(const Endpoint& endpoint, const char* method, const char* path,
            const std::string& body = "") -> HttpResult {
    return client_.SendAndWait(
        endpoint, {.method = method, .target = path, .headers = {}, .body = body, .remote = {}},
        seconds(5));
  }
  auto Hang() -> void {
    const auto changed = Send(control_, "PUT", "/control/targets/a", R"({"hanging": true})");
    ASSERT_EQ(changed.response.status, 200);
  }
  auto SendWithoutWaiting() -> std::shared_ptr<HttpClient::Exchange> {
    return client_.Send(
        target_, {.method = "POST", .target = "/x", .headers = {}, .body = "b", .remote = {}},
        seconds(5), [](const HttpResult& /*result*/) {});
  }
  /// Polls the record until it contains the text; bounded by the timeout of the test.
  auto AwaitExecutions(const char* text) -> void {
    while (Send(control_, "GET", "/control/executions").response.body.find(text) ==
           std::string::npos) {
      std::this_thread::yield();
    }
  }

  boost::asio::io_context context_{1};
  TargetHost host_;
  Endpoint target_;
  Endpoint control_;
  std::thread thread_;
  WorkerPool workers_{2};
  HttpClient client_{workers_, {}};
};

TEST_F(TargetHostTest, AnswersAndRecords) {
  const auto result = Send(target_, "POST", "/orders/1", "order");
  ASSERT_TRUE(result.status.ok()) << result.status;
  const auto body = AnswerBody::Parse(result.response.body);
  ASSERT_TRUE(body.has_value());
  EXPECT_EQ(body->digest, RequestDigest("POST", "/orders/1", "order"));
  EXPECT_NE(Send(control_, "GET", "/control/executions").response.body.find(body->digest),
            std::string::npos);
  EXPECT_EQ(Send(target_, "GET", "/-/health").response.status, 200);
}

// A cancelled request must free its slot, or an impatient caller fills the target for good.
TEST_F(TargetHostTest, CancelsTheRequestOfAClosedConnection) {
  // The connection is a reused one, for which the reactor may report input that was already read.
  EXPECT_TRUE(Send(target_, "GET", "/first").status.ok());
  Hang();
  const auto exchange = SendWithoutWaiting();
  AwaitExecutions(R"("running")");
  exchange->Cancel();
  AwaitExecutions(R"("cancelled")");
}

TEST_F(TargetHostTest, ClosesConnectionsBeyondItsLimit) {
  Hang();
  const auto first = SendWithoutWaiting();
  const auto second = SendWithoutWaiting();
  AwaitExecutions(R"("running","target":"a","ticket":""},{)");
  EXPECT_FALSE(Send(target_, "GET", "/y").status.ok());
  first->Cancel();
  second->Cancel();
}

}  // namespace
}  // namespace heatherspan
