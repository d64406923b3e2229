#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "nlohmann/json.hpp"
#include "standins/caller.h"
#include "standins/caller_summary.h"

namespace heatherspan {
namespace {

std::atomic<bool> stop_requested = false;

struct ServiceLoad {
  std::string name;
  std::string method;
};

struct Options {
  std::vector<std::string> entry_vms;
  std::vector<std::string> clients;
  std::vector<std::string> services;
  std::string records_file;
  int callers = 24;
  double rate = 120;
  double seconds = 30;
  std::uint64_t seed = 1;
};

/// The real surroundings of a caller.
class NetworkWorld {
 public:
  explicit NetworkWorld(HttpClient& client) : client_(client) {}

  auto Now() const -> MonotonicTime { return clock_.Now(); }
  auto Pause(Duration duration) const -> void { std::this_thread::sleep_for(duration); }
  auto Send(const Endpoint& endpoint, HttpRequest request, Duration timeout) -> HttpResult {
    return client_.SendAndWait(endpoint, std::move(request), timeout);
  }

 private:
  HttpClient& client_;
  SystemClock clock_;
};

/// Collects the results of all callers.
class Results {
 public:
  explicit Results(const std::string& records_file) {
    if (!records_file.empty()) records_.open(records_file);
  }
  auto Add(const Operation& operation, const OperationResult& result) -> void {
    const std::lock_guard lock(mutex_);
    summary_.Add(operation, result);
    if (records_.is_open()) records_ << RecordLine(operation, result);
  }
  auto summary() const -> const CallerSummary& { return summary_; }

 private:
  std::mutex mutex_;
  CallerSummary summary_;
  std::ofstream records_;
};

auto MakeOperation(const ServiceLoad& load, std::uint64_t seed, int caller, int number)
    -> Operation {
  const auto id = fmt::format("{}-{}-{}", seed, caller, number);
  const bool reads = load.method == "GET";
  return {.service = load.name,
          .method = load.method,
          .path = fmt::format("/{}/{}", reads ? "items" : "orders", id),
          .body = reads ? "" : fmt::format("order {}\n", id),
          .request_id = "demo-" + id};
}

/// Sends operations at the caller's part of the rate until the time is up. An operation that takes
/// longer than the interval delays the next one.
auto RunCaller(const Options& options, const std::vector<Endpoint>& entry_vms,
               const std::vector<ServiceLoad>& loads, int index, HttpClient& client,
               Results& results) -> void {
  Random random(options.seed * 1000 + static_cast<std::uint64_t>(index));
  NetworkWorld world(client);
  const auto client_address =
      options.clients.empty()
          ? std::string()
          : options.clients[static_cast<std::size_t>(index) % options.clients.size()];
  Caller<NetworkWorld> caller(world, entry_vms, client_address, {}, Random(random()));
  const std::chrono::duration<double> interval(options.callers / options.rate);
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  std::uniform_int_distribution<std::size_t> pick(0, loads.size() - 1);
  const auto end = world.Now() + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(options.seconds));
  auto next = world.Now();
  for (int number = 0; !stop_requested; ++number) {
    next += std::chrono::duration_cast<Duration>(interval * spread(random));
    if (next >= end) return;
    if (next > world.Now()) world.Pause(next - world.Now());
    next = std::max(next, world.Now());
    const auto operation = MakeOperation(loads[pick(random)], options.seed, index, number);
    results.Add(operation, caller.Run(operation));
  }
}

auto ParseEntryVms(const std::vector<std::string>& texts) -> absl::StatusOr<std::vector<Endpoint>> {
  std::vector<Endpoint> endpoints;
  for (const auto& text : texts) {
    auto endpoint = Endpoint::Parse(text);
    if (!endpoint.ok()) return endpoint.status();
    endpoints.push_back(*std::move(endpoint));
  }
  return endpoints;
}

auto ParseServices(const std::vector<std::string>& texts)
    -> absl::StatusOr<std::vector<ServiceLoad>> {
  std::vector<ServiceLoad> loads;
  for (const auto& text : texts) {
    const auto equals = text.find('=');
    if (equals == std::string::npos) {
      return absl::InvalidArgumentError(
          fmt::format("\"{}\" is not a service; expected NAME=METHOD", text));
    }
    loads.push_back({text.substr(0, equals), text.substr(equals + 1)});
  }
  return loads;
}

auto Run(const Options& options) -> int {
  const auto entry_vms = ParseEntryVms(options.entry_vms);
  const auto loads = ParseServices(options.services);
  for (const auto& status : {entry_vms.status(), loads.status()}) {
    if (status.ok()) continue;
    fmt::print(stderr, "{}\n", status.ToString());
    return EXIT_FAILURE;
  }
  WorkerPool workers(2);
  HttpClient client(workers, {.max_connections_per_endpoint = 256});
  Results results(options.records_file);
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(options.callers));
  for (int i = 0; i < options.callers; ++i) {
    threads.emplace_back([&, i] { RunCaller(options, *entry_vms, *loads, i, client, results); });
  }
  for (auto& thread : threads) thread.join();
  fmt::print("{}\n", results.summary().ToJson().dump(2));
  return results.summary().wrong() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace heatherspan

auto main(int argc, char** argv) -> int {
  heatherspan::Options options;
  CLI::App app("Callers of the system: look up, send requests, verify each answer, and count");
  app.add_option("--entry", options.entry_vms, "Entry VMs known at the start (IP:PORT)")
      ->required();
  app.add_option("--client", options.clients, "Client addresses, dealt out to the callers");
  app.add_option("--service", options.services, "Services, each NAME=METHOD")->required();
  app.add_option("--records", options.records_file, "File for one JSON line per operation");
  app.add_option("--callers", options.callers, "Number of callers")->check(CLI::Range(1, 200));
  app.add_option("--rate", options.rate, "Operations/s of all callers together")
      ->check(CLI::Range(0.1, 5000.0));
  app.add_option("--seconds", options.seconds, "How long operations start (s)")
      ->check(CLI::Range(0.1, 600.0));
  app.add_option("--seed", options.seed, "Seed of the operations");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGTERM, [](int /*signal*/) { heatherspan::stop_requested = true; });
  return heatherspan::Run(options);
}
