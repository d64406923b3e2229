#include "test_cluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "fmt/format.h"

namespace heatherspan {
namespace {

auto FreePort() -> Endpoint { return {"127.0.0.1", 0}; }
constexpr Duration kTimeout = std::chrono::seconds(60);

auto MakeRequest(const std::string& method, const std::string& path,
                 const TestCluster::Headers& headers, const std::string& body) -> HttpRequest {
  return {.method = method, .target = path, .headers = headers, .body = body, .remote = {}};
}

}  // namespace

TestCluster::TestCluster()
    : platform_host_(context_, platform_), targets_(context_, 1), scripted_(context_) {
  platform_endpoint_ = platform_host_.Listen(FreePort()).value();
  target_control_ = targets_.ListenControl(FreePort()).value();
  const TargetModel::Behaviour behaviour{.service_time = std::chrono::milliseconds(1),
                                         .cold_requests = 0};
  for (const auto* name : {"desk-1", "desk-2"}) {
    target_endpoints_[name] = targets_.Add(name, FreePort(), behaviour, 100).value();
  }
  thread_ = std::thread([this] { context_.run(); });
}

TestCluster::~TestCluster() {
  nodes_.clear();
  context_.stop();
  thread_.join();
}

auto TestCluster::SettingsOf(const std::string& name, const std::string& zone) const -> Settings {
  Settings settings;
  settings.node = NodeName(name);
  settings.zone = ZoneName(zone);
  settings.callers = settings.peers = settings.admin = FreePort();
  settings.platform = platform_endpoint_;
  settings.environment = EnvironmentName("test");
  settings.peer_key = "key of the peers in this test";
  settings.admin_credential = "secret";
  for (const auto& [other, node] : nodes_) settings.seeds.push_back(node->identity().peers);
  return settings;
}

auto TestCluster::Start(const Settings& settings) -> void {
  auto node = std::make_unique<Daemon>(settings, log_);
  const auto status = node->Start();
  ASSERT_TRUE(status.ok()) << status;
  nodes_[settings.node.value()] = std::move(node);
}

auto TestCluster::StartTwoNodes(Duration linger) -> void {
  for (const auto& [name, zone] : {std::pair("entry-1", "north-1"), {"entry-2", "north-2"}}) {
    auto settings = SettingsOf(name, zone);
    settings.drain_linger = linger;
    Start(settings);
  }
  PutDocument("entry-1");
  // New owners wait before they fill the slots of their targets, and new nodes wait for their share
  // of the cap.
  const auto ready = [this](const std::string& name, std::size_t services) {
    const auto status = Status(name);
    std::size_t usable = 0;
    for (const auto& service : status.at("services")) usable += service.at("usable_slots") > 0;
    return status.at("members").size() == 2 && status.at("share_rps") > 0 && usable == services;
  };
  ASSERT_TRUE(WaitUntil([&] { return ready("entry-1", 2) && ready("entry-2", 1); }));
  const auto serves = [this](const std::string& name, const std::string& service) {
    return Send(name, "GET", "/v1/services/" + service + "/first").status == 200;
  };
  for (const auto* name : {"entry-1", "entry-2"}) {
    ASSERT_TRUE(WaitUntil([&] { return serves(name, "desk") && serves(name, "scripted"); }))
        << name;
  }
}

auto TestCluster::DocumentText() const -> std::string {
  std::string text =
      "environment = \"test\"\n"
      "[[region]]\nname = \"north\"\ncap_rps = 1000\n"
      "[[region.zone]]\nname = \"north-1\"\n[[region.zone]]\nname = \"north-2\"\n"
      "[[team]]\nname = \"red\"\n";
  const auto add_service = [&text](const char* name) {
    text += fmt::format("[[service]]\nname = \"{}\"\nteam = \"red\"\ndefault_deadline_ms = 60000\n",
                        name);
  };
  const auto add_target = [&text](const char* name, const char* zone, const Endpoint& endpoint) {
    text += fmt::format("[[service.target]]\nname = \"{}\"\nzone = \"{}\"\naddress = \"{}\"\n",
                        name, zone, endpoint.Text());
  };
  add_service("desk");
  add_target("desk-1", "north-1", target_endpoints_.at("desk-1"));
  add_target("desk-2", "north-2", target_endpoints_.at("desk-2"));
  add_service("scripted");
  add_target("scripted-1", "north-1", scripted_.endpoint());
  return text;
}

auto TestCluster::PutDocument(const std::string& name) -> void {
  Headers headers = {{"Base-Version", "0"}, {"Write-Id", "w"}, {"Author", "test"}};
  const auto put = Admin(name, "PUT", "/admin/v1/trial", headers, DocumentText());
  ASSERT_EQ(put.status, 200) << put.body;
  headers.push_back({"Trial-Version", "1"});
  const auto promote = Admin(name, "POST", "/admin/v1/promote", headers);
  ASSERT_EQ(promote.status, 200) << promote.body;
}

auto TestCluster::Call(const Endpoint& endpoint, const std::string& method, const std::string& path,
                       const Headers& headers, const std::string& body) -> HttpResponse {
  auto result = client_.SendAndWait(endpoint, MakeRequest(method, path, headers, body), kTimeout);
  EXPECT_TRUE(result.status.ok()) << method << " " << path << ": " << result.status;
  return std::move(result.response);
}

auto TestCluster::Send(const std::string& name, const std::string& method, const std::string& path,
                       const Headers& headers, const std::string& body) -> HttpResponse {
  return Call(node(name).identity().callers, method, path, headers, body);
}

auto TestCluster::SendAsync(const std::string& name, const std::string& method,
                            const std::string& path, HttpClient::Callback callback) -> void {
  client_.Send(node(name).identity().callers, MakeRequest(method, path, {}, ""), kTimeout,
               std::move(callback));
}

auto TestCluster::Admin(const std::string& name, const std::string& method, const std::string& path,
                        const Headers& headers, const std::string& body) -> HttpResponse {
  auto all = headers;
  all.push_back({"Authorization", "Bearer secret"});
  return Call(node(name).identity().admin, method, path, all, body);
}

auto TestCluster::Status(const std::string& name) -> nlohmann::json {
  return nlohmann::json::parse(Admin(name, "GET", "/admin/v1/status").body);
}

auto TestCluster::Members(const std::string& name) -> std::vector<std::string> {
  std::vector<std::string> names;
  const auto status = Status(name);
  for (const auto& member : status.at("members")) {
    if (member.at("state") == "alive") names.push_back(member.at("name"));
  }
  std::sort(names.begin(), names.end());
  return names;
}

auto TestCluster::MetricValue(const std::string& name, const std::string& metric) -> double {
  const auto text = Admin(name, "GET", "/metrics").body;
  const auto found = text.find("\n" + metric + " ");
  return found == std::string::npos
             ? 0
             : std::strtod(text.c_str() + found + metric.size() + 2, nullptr);
}

auto TestCluster::ChangeTarget(const std::string& target, const std::string& change) -> int {
  return Call(target_control_, "PUT", "/control/targets/" + target, {}, change).status;
}

auto TestCluster::Executions(const std::string& path) -> int {
  const auto log =
      nlohmann::json::parse(Call(target_control_, "GET", "/control/executions", {}, "").body);
  const auto& all = log.at("executions");
  return static_cast<int>(std::count_if(
      all.begin(), all.end(), [&](const auto& execution) { return execution.at("path") == path; }));
}

auto TestCluster::WaitUntil(const std::function<bool()>& condition) -> bool {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::yield();
  }
  return true;
}

}  // namespace heatherspan
