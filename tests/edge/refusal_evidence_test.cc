#include <string>

#include "edge_node_fixture.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

/// What the log and the metrics tell of requests that end with a 4xx.
class RefusalEvidenceTest : public EdgeNodeFixture {
 protected:
  /// Returns the first line of the event that has the part.
  auto Line(const std::string& event, const std::string& part = "") const -> std::string {
    const auto text = log_capture_.Text();
    for (std::size_t begin = 0; begin < text.size();) {
      const auto end = std::min(text.find('\n', begin), text.size());
      const auto line = text.substr(begin, end - begin);
      if (line.find("event=" + event + " ") != std::string::npos &&
          line.find(part) != std::string::npos) {
        return line;
      }
      begin = end + 1;
    }
    return "";
  }

  auto HasMetric(const std::string& line) -> bool {
    return Get(settings_.metrics, "/metrics").body.find(line) != std::string::npos;
  }
};

// Guards against a message that the reader refuses without a trace.
TEST_F(RefusalEvidenceTest, MalformedInputIsLoggedAndCounted) {
  store_.Put("op/config", Policy(1));
  Start();
  for (const auto& [listener, endpoint] :
       {std::pair{std::string("callers"), settings_.callers}, {"peers", settings_.peers}}) {
    auto socket = RawSocket::Connect(endpoint);
    socket.Send("PUT /read/x HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
    EXPECT_EQ(socket.ReadUntilClosed().substr(0, 12), "HTTP/1.1 400");
    const auto line = Line("input-refused", "listener=" + listener);
    for (const auto* field : {"status=400", "cause=bad-request", "bad Content-Length",
                              "handled_requests=0", "limits_outdated=0", "remote=127."}) {
      EXPECT_NE(line.find(field), std::string::npos) << field << " in " << line;
    }
    EXPECT_TRUE(Eventually([&] {
      return HasMetric("heatherspan_rejected_input_total{listener=\"" + listener +
                       "\",cause=\"bad-request\"} 1");
    })) << Get(settings_.metrics, "/metrics").body;
  }
}

}  // namespace
}  // namespace heatherspan
