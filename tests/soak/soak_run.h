#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet_standins/kv_standin.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "soak/fault_proxy.h"
#include "soak/gateway_process.h"
#include "soak/guarded.h"
#include "soak/promise_ledger.h"
#include "soak/soak_backend_calls.h"
#include "soak/soak_caller.h"
#include "soak/soak_plan.h"
#include "soak/soak_shape.h"
#include "soak/soak_target.h"

namespace heatherspan {

/// One seed of the soak: gateway processes, stand-ins and proxies between them, a plan of faults.
class SoakRun {
 public:
  struct Options {
    std::string program;  ///< Path of the gateway program.
    /// Path of the build before; empty to run one build. Each start of a gateway changes the build.
    std::string previous;
    std::string folder;  ///< For settings and logs; exists.
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(15);  ///< Of the faults.
    Duration recovery = std::chrono::seconds(15);
    const SoakShape* shape = FindSoakShape("standard");
    SoakSize size = shape->size;
    int callers = shape->callers;
  };

  explicit SoakRun(Options options);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  auto operator=(const SoakRun&) -> SoakRun& = delete;

  /// Plays the plan. False if a process doesn't become ready at the start.
  auto Play() -> bool;
  auto ledger() -> Guarded<PromiseLedger>& { return ledger_; }

 private:
  struct Gateway {
    std::string name;
    std::string zone;
    std::string region;
    std::string address;
    std::unique_ptr<GatewayProcess> process;
    std::unique_ptr<FaultProxy> callers;
    std::unique_ptr<FaultProxy> store;
    std::unique_ptr<FaultProxy> peers;
    FaultProxy::Behaviour callers_now;
    FaultProxy::Behaviour store_now;
    FaultProxy::Behaviour peers_now;
    int news_cuts = 0;    ///< That overlap.
    bool ending = false;  ///< Its end is expected.
    bool stranded = false;
    MonotonicTime stop_began{};
    MonotonicTime stop_deadline = MonotonicTime::max();
    MonotonicTime restart_at = MonotonicTime::max();
    Duration down_time{};
    int starts = 0;
    int log_lines = 200;  ///< The setting that a reload changes.
  };
  struct Target {
    SoakTarget::Identity identity;
    std::unique_ptr<SoakTarget> target;
    std::unique_ptr<FaultProxy> proxy;
    FaultProxy::Behaviour now;
    bool away = false;  ///< Leaving or gone.
    int lives = 0;      ///< Instances at this address.
    int starts = 0;     ///< Of all of them.
  };
  using Kind = TroubleLog::Kind;

  auto Address(int number) const -> std::string;
  /// The gateway whose connection it is, by number.
  auto OwnerOf(const Endpoint& client, const Endpoint& proxy) const -> int;
  auto AddGateway(int number) -> void;
  auto AddTarget(int number) -> void;
  auto WriteSettings(Gateway& gateway) -> void;
  auto StartGateway(Gateway& gateway) -> void;
  /// Chooses the build for the gateway's next start.
  auto ChooseBuild(Gateway& gateway) -> void;
  auto Register(Target& target, const std::string& state) -> void;
  auto PutPolicy() -> void;
  /// Cuts the gateway off from the store and other gateways, and changes the configuration.
  auto CutNews(const SoakStep& step) -> void;
  auto BoundLinks() -> void;
  /// Adds many routes over bounded links, and changes the configuration again soon after.
  auto GrowPolicy(const SoakStep& step) -> void;
  auto AwaitReady() -> bool;
  auto Do(const SoakStep& step) -> void;
  auto DoGateway(const SoakStep& step) -> void;
  auto DoStore(const SoakStep& step) -> void;
  auto DoTarget(const SoakStep& step) -> void;
  auto Stop(Gateway& gateway, Duration down) -> void;
  auto Kill(Gateway& gateway, Duration down) -> void;
  auto EndLife(Target& target, Duration away) -> void;
  auto BeginLife(Target& target, bool other_service, bool other_region) -> void;
  auto StartTarget(Target& target) -> void;
  /// Restarts the targets that requests have ended.
  auto LookAfterTargets() -> void;
  auto OnNamed(const std::string& asked, const std::string& answer) -> void;
  auto HarmTarget(int number, Duration length,
                  const std::function<void(FaultProxy::Behaviour&)>& harm) -> void;
  auto Strand(const SoakStep& step) -> void;
  auto Trouble(const std::string& party, Kind kind, Duration length) -> void;
  auto After(Duration delay, std::function<void()> task) -> void;
  auto RunUntil(MonotonicTime end) -> void;
  auto LookAfterGateways() -> void;
  auto AskGateways() -> void;
  auto Log(const std::string& line) const -> void;

  Options options_;
  Guarded<PromiseLedger> ledger_;
  WorkerPool target_workers_{1};
  WorkerPool proxy_workers_{1};
  WorkerPool caller_workers_{1};
  KvStandin store_;
  HttpClient observer_;
  SoakCallerWorld world_;
  SoakBackendCalls backend_calls_;
  std::vector<Gateway> gateways_;
  std::vector<Target> targets_;
  Guarded<std::vector<int>> harmed_;  ///< Targets that a request has just ended, by number.
  std::vector<std::unique_ptr<SoakCaller>> callers_;
  std::multimap<MonotonicTime, std::function<void()>> tasks_;
  MonotonicTime began_;
  MonotonicTime next_question_{};
  std::map<std::string, std::vector<SoakEntry>> named_;  ///< By the gateway that was asked.
  int version_ = 0;
  int growths_ = 0;
  int more_routes_ = 0;         ///< That no caller uses.
  std::map<int, int> bounded_;  ///< Growths that overlap, by gateway.
  int stores_down_ = 0;         ///< Outages that overlap.
};

}  // namespace heatherspan
