#include <algorithm>
#include <string>

#include "edge_node_fixture.h"
#include "raw_socket.h"
#include "scripted_peer.h"

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
      auto line = text.substr(begin, end - begin);
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
  for (const std::string listener : {"callers", "peers"}) {
    auto socket = RawSocket::Connect(listener == "callers" ? settings_.callers : settings_.peers);
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

// Guards against a refusal that can't be traced to the configuration that it rests on.
TEST_F(RefusalEvidenceTest, UnknownRouteNamesTheRequestAndTheConfiguration) {
  store_.Put("op/config", Policy(7));
  Start();
  EXPECT_EQ(Send("/secrets/of/callers?a=1").response.status, 404);
  const auto line = Line("request", "reason=unknown-route");
  for (const auto* field : {"status=404", "host=h.example", "path=/secrets ", "config=7",
                            "for_peer=0", "store_age_ms=", "uptime_ms="}) {
    EXPECT_NE(line.find(field), std::string::npos) << field << " in " << line;
  }
  EXPECT_EQ(line.find("callers"), std::string::npos) << line;
}

// Guards against the refusal of another VM that passes for one of this VM.
TEST_F(RefusalEvidenceTest, ARefusalOfAnotherVmNamesIt) {
  constexpr int kUnreachable = 6;
  const ScriptedPeer peer([](const std::string& id) {
    return "HTTP/1.1 400 Bad Request\r\nHeatherspan-Relay-Verdict: not-run\r\n"
           "Heatherspan-Relay-Arrivals: 0\r\nContent-Length: 0\r\nHeatherspan-Request-Id: " +
           id + "\r\n\r\n";
  });
  store_.Put("op/config", Policy(1));
  RegisterUnreachable(kUnreachable);
  store_.Put("entry/n-3", peer.Announcement());
  Start();
  // The other VM's 400 doesn't end the request: its caller may come back.
  ASSERT_TRUE(Eventually([&] {
    return Send("/book/x", "POST").response.status == 503 &&
           log_capture_.Contains("refused_by=n-3");
  }));
  const auto line = Line("request", "refused_by=n-3");
  EXPECT_NE(line.find("through=n-3 refused_by=n-3 for_peer=0"), std::string::npos) << line;
  EXPECT_NE(line.find("status=503"), std::string::npos) << line;
  EXPECT_NE(line.find("verdict=not-run"), std::string::npos) << line;
}

}  // namespace
}  // namespace heatherspan
