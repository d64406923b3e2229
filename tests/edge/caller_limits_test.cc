#include <string>

#include "edge_node_fixture.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

/// A configuration that allows larger headers and bodies than a process that knows none.
auto PolicyWithLimits(int version) -> std::string {
  auto policy = Policy(version);
  const std::string first = R"("resources":[)";
  return policy.insert(policy.find(first) + first.size(), R"({"type":"limits","spec":{
    "header_bytes":65536,"max_body_bytes":4194304,"header_timeout_s":10,"idle_timeout_s":60}},)");
}

/// Requests that a configuration allows, at a process that has it or does not have it yet.
class CallerLimitsTest : public EdgeNodeFixture {
 protected:
  static auto SmallRequest() -> std::string { return Post("small", ""); }
  static auto LargeBody() -> std::string {
    return Post("body", std::string(std::size_t{2} * 1024 * 1024, 'b'));
  }
  static auto LargeHeader() -> std::string {
    return Post("header", "", "A: " + std::string(std::size_t{32} * 1024, 'h') + "\r\n");
  }

  /// Returns the status of the answer.
  static auto Exchange(const RawSocket& socket, const std::string& input) -> std::string {
    socket.Send(input);
    const auto head = socket.ReadUntil("\r\n\r\n");
    return head.size() < 12 ? head : head.substr(9, 3);
  }

 private:
  static auto Post(const std::string& id, const std::string& body, const std::string& fields = "")
      -> std::string {
    return "POST /book/x HTTP/1.1\r\nHost: h.example\r\nHeatherspan-Request-Id: " + id +
           "\r\nHeatherspan-Deadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n" + fields + "\r\n" + body;
  }
};

// Guards against 413 and 431 for requests that the configuration allows, because their connection
// was accepted before the process knew it.
TEST_F(CallerLimitsTest, HoldOnConnectionsFromBeforeTheConfiguration) {
  node_.emplace(settings_, log_, [] {});
  ASSERT_TRUE(node_->Start().ok());
  const auto one = RawSocket::Connect(settings_.callers);
  const auto other = RawSocket::Connect(settings_.callers);
  EXPECT_EQ(Exchange(one, SmallRequest()), "503");
  EXPECT_EQ(Exchange(other, SmallRequest()), "503");
  store_.Put("op/config", PolicyWithLimits(1));
  ASSERT_TRUE(Eventually([&] { return log_capture_.Contains("configuration-applied"); }));
  // There are no targets.
  EXPECT_EQ(Exchange(one, LargeBody()), "503");
  EXPECT_EQ(Exchange(other, LargeHeader()), "503");
}

// Guards against 413 and 431, after which callers send nothing again, from a process that does not
// know the limits yet.
TEST_F(CallerLimitsTest, AreNotThoseOfAProcessWithoutAConfiguration) {
  node_.emplace(settings_, log_, [] {});
  ASSERT_TRUE(node_->Start().ok());
  for (const auto& input : {LargeBody(), LargeHeader()}) {
    EXPECT_EQ(Exchange(RawSocket::Connect(settings_.callers), input), "503");
  }
}

}  // namespace
}  // namespace heatherspan
