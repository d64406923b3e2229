#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "daemon/daemon.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"
#include "scripted_target.h"
#include "standins/platform_host.h"
#include "standins/platform_standin.h"
#include "standins/target_host.h"

namespace heatherspan {

/// Complete nodes in this process, with stand-ins for the platform and the targets, all on free
/// loopback ports. Service "desk" has a target in each of the zones north-1 and north-2; service
/// "scripted" has one in north-1 whose answers the test sets.
class TestCluster {
 public:
  using Headers = std::vector<HeaderField>;

  TestCluster();
  ~TestCluster();
  TestCluster(const TestCluster&) = delete;
  auto operator=(const TestCluster&) -> TestCluster& = delete;

  /// Settings of a node in the zone. Its seeds are the running nodes.
  auto SettingsOf(const std::string& name, const std::string& zone) const -> Settings;
  auto Start(const Settings& settings) -> void;
  /// Starts entry-1 in north-1 and entry-2 in north-2, puts the document into force and waits until
  /// both nodes serve both services.
  auto StartTwoNodes(Duration linger = std::chrono::seconds(10)) -> void;
  auto Destroy(const std::string& name) -> void { nodes_.erase(name); }
  auto node(const std::string& name) -> Daemon& { return *nodes_.at(name); }

  auto Send(const std::string& name, const std::string& method, const std::string& path,
            const Headers& headers = {}, const std::string& body = "") -> HttpResponse;
  /// Sends a request without waiting for its response.
  auto SendAsync(const std::string& name, const std::string& method, const std::string& path,
                 HttpClient::Callback callback) -> void;
  auto Admin(const std::string& name, const std::string& method, const std::string& path,
             const Headers& headers = {}, const std::string& body = "") -> HttpResponse;
  auto Status(const std::string& name) -> nlohmann::json;
  /// The names of the members whose state is alive at the node.
  auto Members(const std::string& name) -> std::vector<std::string>;
  /// The value of a metric, given with its labels; 0 if it is absent.
  auto MetricValue(const std::string& name, const std::string& metric) -> double;

  auto ChangeTarget(const std::string& target, const std::string& change) -> int;
  /// The number of requests for the path that the targets of "desk" started.
  auto Executions(const std::string& path) -> int;
  auto scripted() -> ScriptedTarget& { return scripted_; }

  /// Polls until the condition holds. Returns false after one minute, so that a failing test does
  /// not hang.
  static auto WaitUntil(const std::function<bool()>& condition) -> bool;

 private:
  auto DocumentText() const -> std::string;
  auto PutDocument(const std::string& name) -> void;
  auto Call(const Endpoint& endpoint, const std::string& method, const std::string& path,
            const Headers& headers, const std::string& body) -> HttpResponse;

  boost::asio::io_context context_{1};
  PlatformStandin platform_;
  PlatformHost platform_host_;
  TargetHost targets_;
  ScriptedTarget scripted_;
  Endpoint platform_endpoint_;
  Endpoint target_control_;
  std::map<std::string, Endpoint> target_endpoints_;
  std::thread thread_;
  WorkerPool workers_{2};
  HttpClient client_{workers_, {}};
  EventLog log_{LogLevel::kWarning};
  std::map<std::string, std::unique_ptr<Daemon>> nodes_;
};

}  // namespace heatherspan
