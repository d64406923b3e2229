#include <atomic>
#include <list>
#include <string>
#include <thread>

#include "edge_node_fixture.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

/// A target whose answers to requests have no header fields.
class BareTarget {
 public:
  explicit BareTarget(std::string answer)
      : answer_(std::move(answer)), acceptor_([this] {
          while (!ended_) {
            threads_.emplace_back([this, socket = listener_.Accept()] { Serve(socket); });
          }
        }) {}
  ~BareTarget() {
    ended_ = true;
    RawSocket::Connect(listener_.endpoint()).Close();
    acceptor_.join();
    for (auto& thread : threads_) thread.join();
  }
  BareTarget(const BareTarget&) = delete;
  auto operator=(const BareTarget&) -> BareTarget& = delete;

  auto endpoint() const -> const Endpoint& { return listener_.endpoint(); }

 private:
  auto Serve(const RawSocket& socket) -> void {
    while (true) {
      const auto head = socket.ReadUntil("\r\n\r\n");
      if (ended_ || head.empty()) return;
      if (!head.starts_with("GET /health ")) {
        socket.Send(answer_);
        return;
      }
      socket.Send("HTTP/1.1 200 OK\r\nHeatherspan-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
    }
  }

  const std::string answer_;
  RawListener listener_;
  std::atomic<bool> ended_ = false;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

class BareAnswerTest : public EdgeNodeFixture, public testing::WithParamInterface<int> {};

// Guards against another status than the target's, such as 200 for a failure, because its answer
// has no header fields.
TEST_P(BareAnswerTest, IsAFailureForTheCaller) {
  BareTarget target("HTTP/1.1 " + std::to_string(GetParam()) + " Status\r\n\r\n");
  store_.Put("op/config", Policy(1));
  store_.Put("servers/i-1", TargetStub::RegistrationAt(target.endpoint()));
  Start();
  const auto answer = Send("/book/x", "POST").response;
  EXPECT_TRUE(answer.status == 500 || answer.status == 502) << answer.status;
  node_.reset();
}

INSTANTIATE_TEST_SUITE_P(Statuses, BareAnswerTest,
                         testing::Values(200, 204, 302, 304, 400, 404, 413, 500, 503));

}  // namespace
}  // namespace heatherspan
