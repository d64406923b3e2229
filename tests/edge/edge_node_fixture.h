#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <optional>
#include <ostream>
#include <string>
#include <thread>

#include "edge/edge_node.h"
#include "fleet_standins/kv_standin.h"
#include "log_capture.h"
#include "platform/platform_adapter.h"
#include "target_stub.h"

namespace heatherspan {

inline constexpr Duration kTimeout = std::chrono::seconds(10);

/// A configuration with a safe and an unsafe route to one service.
inline auto Policy(int version, const std::string& service = "s") -> std::string {
  return R"({"version":"r)" + std::to_string(version) + R"(","resources":[
    {"type":"routes","metadata":{"name":"read"},"spec":{"host":"h.example","path_prefix":"/read/","kind":"safe",
     "timeout_s":3,"latency_slo_s":1,"priority":1,"service":")" +
         service + R"(","max_attempts":2,"session_affinity":true}},
    {"type":"routes","metadata":{"name":"book"},"spec":{"host":"h.example","path_prefix":"/book/","kind":"unsafe",
     "timeout_s":3,"latency_slo_s":1,"priority":0,"service":")" +
         service + R"(","max_attempts":2,"session_affinity":true}},
    {"type":"services","metadata":{"name":"s"},"spec":{"health_path":"/health","max_conns":9,"cold_s":3,
     "cold_per_s":2}}]})";
}

/// One gateway process with a store stand-in and target stubs, over loopback.
class EdgeNodeFixture : public testing::Test {
 protected:
  EdgeNodeFixture() {
    settings_.node = NodeName("n");
    settings_.zone = ZoneName("a");
    settings_.region = RegionName("r");
    settings_.zones = {{ZoneName("a"), RegionName("r")}};
    settings_.store = store_.endpoint();
    settings_.bounds.retry_allowance = 50;
    settings_.bounds.stop_grace = std::chrono::seconds(3);
    settings_.callers = OwnEndpoint(1);
    settings_.readiness = OwnEndpoint(2);
    settings_.directory = OwnEndpoint(3);
    settings_.metrics = OwnEndpoint(4);
    settings_.peers = OwnEndpoint(5);
  }

  ~EdgeNodeFixture() override {
    node_.reset();
    caller_workers_.Stop();
  }

  /// A loopback address that only this process uses, so that no other process can take the port.
  static auto OwnEndpoint(int number) -> Endpoint {
    constexpr int kOctets = 250;
    const int process = ::getpid();
    return {"127." + std::to_string(process / kOctets % kOctets + 1) + "." +
                std::to_string(process % kOctets + 1) + "." + std::to_string(number),
            18080};
  }

  /// The settings of a further entry VM of the same zone.
  auto SecondNodeSettings() const -> EdgeSettings {
    auto settings = settings_;
    settings.node = NodeName("n-2");
    settings.callers = OwnEndpoint(6);
    settings.readiness = OwnEndpoint(7);
    settings.directory = OwnEndpoint(8);
    settings.metrics = OwnEndpoint(9);
    settings.peers = OwnEndpoint(10);
    return settings;
  }

  auto Register(const TargetStub& target, const std::string& state = "ready") -> void {
    store_.Put("servers/" + target.name(), target.Registration(state));
  }

  /// Registers targets at addresses where nothing listens and nothing else will.
  auto RegisterUnreachable(int count) -> void {
    constexpr int kFirstNumber = 20;
    for (int i = 0; i < count; ++i) {
      store_.Put("servers/i-" + std::to_string(i),
                 TargetStub::RegistrationAt(OwnEndpoint(kFirstNumber + i)));
    }
  }

  /// Starts the node and waits until it has announced itself.
  auto Start() -> void {
    node_.emplace(settings_, log_, [this] { stopped_ = true; });
    ASSERT_TRUE(node_->Start().ok());
    ASSERT_TRUE(Eventually([&] { return store_.Has("entry/n"); }));
  }

  template <class Predicate>
  auto Eventually(Predicate predicate) -> bool {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (predicate()) return true;
      std::this_thread::yield();
    }
    return false;
  }

  auto Get(const Endpoint& endpoint, const std::string& target) -> HttpResponse {
    HttpRequest request;
    request.target = target;
    return caller_.SendAndWait(endpoint, request, kTimeout).response;
  }

  static auto Request(const std::string& target, const std::string& method = "GET") -> HttpRequest {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "h.example"},
                       {"Heatherspan-Request-Id", "id-7"},
                       {"Heatherspan-Deadline-Ms", "4000"},
                       {"Cookie", "Heatherspan-Affinity-Key=5"}};
    return request;
  }

  auto Send(const std::string& target, const std::string& method = "GET") -> HttpResult {
    return caller_.SendAndWait(settings_.callers, Request(target, method), kTimeout);
  }

  static auto Refuse(const HttpRequest& /*request*/, const HttpServer::Responder& respond) -> void {
    HttpResponse response;
    response.status = 503;
    response.headers = {{"Heatherspan-Not-Executed", "1"}};
    respond(std::move(response));
  }

  /// A target's behaviour that answers each request and names a limit.
  static auto NameLimit(const std::string& limit) -> TargetStub::Behaviour {
    return [limit](const HttpRequest& request, const HttpServer::Responder& respond) {
      HttpResponse response;
      response.headers = {
          {"Heatherspan-Response-Signature", "s"},
          {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))}};
      if (!limit.empty()) response.headers.push_back({"Server-Limit", limit});
      respond(std::move(response));
    };
  }

  KvStandin store_;
  LogCapture log_capture_;
  std::ostream log_stream_{&log_capture_};
  EventLog log_{LogLevel::kInfo, log_stream_};
  EdgeSettings settings_;
  std::atomic<bool> stopped_ = false;
  WorkerPool caller_workers_{1};
  HttpClient caller_{caller_workers_, HttpClient::Limits{.forward_host = true}};
  std::optional<EdgeNode<FleetPlatform>> node_;
};

}  // namespace heatherspan
