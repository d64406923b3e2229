#include "settings/settings_reader.h"

#include <gmock/gmock.h>

#include <map>

namespace heatherspan {
namespace {

using testing::HasSubstr;
using testing::Not;

const std::string peer_key(32, 'p');
const std::string credential(16, 'c');

const std::string small_file = R"([node]
name = "entry-1"
zone = "sofia-1"
[listen]
callers = "127.0.0.1:20000"
peers = "127.0.0.1:20001"
admin = "127.0.0.1:20002"
[platform]
address = "127.0.0.1:20100"
environment = "stranokrak"
)";

auto Read(const std::string& text,
          std::map<std::string, std::string> variables = {
              {"HEATHERSPAN_PEER_KEY", peer_key},
              {"HEATHERSPAN_ADMIN_CREDENTIAL", credential}}) -> absl::StatusOr<Settings> {
  return ReadSettings(text, "f", [&](const std::string& name) -> std::optional<std::string> {
    const auto it = variables.find(name);
    return it == variables.end() ? std::nullopt : std::optional(it->second);
  });
}

auto Error(const std::string& text) -> std::string {
  return std::string(Read(text).status().message());
}

TEST(ReadSettings, ReadsEveryTable) {
  const auto settings = Read(small_file + R"([peers]
seeds = ["127.0.0.1:20011", "127.0.0.1:20021"]
[workers]
threads = 3
[limits]
max_header_bytes = 2048
max_body_bytes = 4096
max_connections = 100
max_response_bytes = 8192
request_timeout_ms = 500
ticket_records = 1000
[log]
level = "debug"
[drain]
linger_ms = 0
)");
  ASSERT_TRUE(settings.ok()) << settings.status().message();
  EXPECT_EQ(settings->node.value(), "entry-1");
  EXPECT_EQ(settings->peers.port, 20001);
  EXPECT_EQ(settings->seeds.at(1).port, 20021);
  EXPECT_EQ(settings->threads, 3);
  EXPECT_EQ(settings->limits.max_response_bytes, 8192);
  EXPECT_EQ(settings->limits.request_timeout, std::chrono::milliseconds(500));
  EXPECT_EQ(settings->log_level, "debug");
  EXPECT_EQ(settings->drain_linger, Duration(0));
  EXPECT_EQ(settings->peer_key, peer_key);
}

TEST(ReadSettings, HasTheDefaultsOfTheDesign) {
  const auto settings = Read(small_file).value();
  EXPECT_EQ(settings.threads, 2);
  EXPECT_EQ(settings.drain_linger, std::chrono::seconds(10));
  EXPECT_TRUE(settings.seeds.empty());
}

TEST(ReadSettings, ReportsEveryFaultWithPlaceValueAndRange) {
  const auto error = Error(R"([node]
name = "Entry 1"
[listen]
callers = "0.0.0.0:80"
peers = "127.0.0.1:7"
admin = "127.0.0.1:7"
[worker]
[limits]
max_conections = 5
ticket_records = 5
)");
  EXPECT_EQ(error,
            "f:1:1: node: the key \"zone\" is missing; expected a name: at most 63 of a-z, 0-9 and "
            "hyphens, a letter first\n"
            "f:1:1: platform: the key \"address\" is missing; expected an IP address other than "
            "0.0.0.0 and :: with a port from 1 to 65535, such as \"192.0.2.7:8080\"\n"
            "f:1:1: platform: the key \"environment\" is missing; expected a name: at most 63 of "
            "a-z, 0-9 and hyphens, a letter first\n"
            "f:2:8: name: found \"Entry 1\", expected a name: at most 63 of a-z, 0-9 and hyphens, "
            "a letter first\n"
            "f:4:11: callers: found \"0.0.0.0:80\", expected an IP address other than 0.0.0.0 and "
            ":: with a port from 0 to 65535, such as \"192.0.2.7:8080\"\n"
            "f:6:9: admin: found \"127.0.0.1:7\", which is also the value of \"peers\"\n"
            "f:7:2: settings: unknown key \"worker\"; did you mean \"workers\"?\n"
            "f:9:1: limits: unknown key \"max_conections\"; did you mean \"max_connections\"?\n"
            "f:10:18: ticket_records: found 5, expected a whole number from 100 to 10000000");
}

// Guards against secrets in logs: errors may name the variable but not its value.
TEST(ReadSettings, NeverPrintsASecret) {
  const auto result = Read(small_file, {{"HEATHERSPAN_PEER_KEY", "short-peer-key"}});
  const std::string message(result.status().message());
  EXPECT_EQ(message,
            "HEATHERSPAN_PEER_KEY: the value has 14 characters; expected at least 32\n"
            "HEATHERSPAN_ADMIN_CREDENTIAL: the environment variable is not set; expected at least "
            "16 characters");
  const std::string file_fault(Read("[nodes]").status().message());
  EXPECT_THAT(file_fault, Not(HasSubstr(peer_key)));
  EXPECT_THAT(file_fault, Not(HasSubstr(credential)));
}

TEST(ReadSettings, SurvivesTruncation) {
  for (std::size_t length = 0; length < small_file.size() - 1; ++length) {
    EXPECT_FALSE(Read(small_file.substr(0, length)).ok()) << length;
  }
}

}  // namespace
}  // namespace heatherspan
