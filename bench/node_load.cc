// Sends a bounded number of requests to one address at a fixed rate over keep-alive connections and
// prints counts and latencies as JSON.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/endpoint.h"
#include "fmt/format.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "nlohmann/json.hpp"

namespace heatherspan {
namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kTimeout = std::chrono::seconds(5);
constexpr std::uint32_t kFirstBlock = 10U << 24U;  // 10.0.0.0
constexpr std::uint32_t kBlockSpacing = 128;       // As scripts/bench-node lays the blocks out.

struct Options {
  std::string endpoint;
  std::string target;
  std::uint32_t blocks = 0;
  double rate = 1000;
  int requests = 1000;
  std::size_t connections = 16;
  std::uint64_t seed = 1;
};

/// The first host address of a block.
auto ClientAddress(std::uint32_t block) -> std::string {
  const std::uint32_t address = kFirstBlock + block * kBlockSpacing + 1;
  return fmt::format("{}.{}.{}.{}", address >> 24U, (address >> 16U) & 255U, (address >> 8U) & 255U,
                     address & 255U);
}

/// The results of all requests. Every request reports once.
class Results {
 public:
  explicit Results(int expected) : expected_(static_cast<std::size_t>(expected)) {
    latencies_ms_.reserve(expected_);
  }

  auto Add(const HttpResult& result, Clock::duration latency) -> void {
    const std::lock_guard lock(mutex_);
    if (!result.status.ok()) {
      ++errors_[fmt::format("code {}", static_cast<int>(result.status.code()))];
    } else if (result.response.status != 200) {
      const auto reason = result.response.Header("Heatherspan-Reason");
      ++errors_[fmt::format("status {} {}", result.response.status, reason)];
    }
    latencies_ms_.push_back(std::chrono::duration<double, std::milli>(latency).count());
    if (latencies_ms_.size() == expected_) finished_.set_value();
  }

  auto Wait() -> void { finished_.get_future().wait(); }

  /// Must follow Wait().
  auto ToJson(double seconds) -> nlohmann::json {
    const std::lock_guard lock(mutex_);
    std::sort(latencies_ms_.begin(), latencies_ms_.end());
    int errors = 0;
    for (const auto& [cause, count] : errors_) errors += count;
    return {{"requests", latencies_ms_.size()},
            {"errors", errors},
            {"error_causes", errors_},
            {"seconds", seconds},
            {"rate", static_cast<double>(latencies_ms_.size()) / seconds},
            {"p50_ms", Percentile(0.5)},
            {"p99_ms", Percentile(0.99)},
            {"max_ms", latencies_ms_.back()}};
  }

 private:
  auto Percentile(double part) const -> double {
    return latencies_ms_[static_cast<std::size_t>(part *
                                                  static_cast<double>(latencies_ms_.size() - 1))];
  }

  const std::size_t expected_;
  std::mutex mutex_;
  std::promise<void> finished_;
  std::vector<double> latencies_ms_;
  std::map<std::string, int> errors_;
};

auto Run(const Options& options) -> int {
  const auto endpoint = Endpoint::Parse(options.endpoint);
  if (!endpoint.ok()) {
    fmt::print(stderr, "--endpoint: {}\n", endpoint.status().ToString());
    return EXIT_FAILURE;
  }
  WorkerPool workers(1);
  HttpClient client(workers, {.max_connections_per_endpoint = options.connections});
  Results results(options.requests);
  std::mt19937_64 random(options.seed);
  std::uniform_int_distribution<std::uint32_t> block(0, std::max(options.blocks, 1U) - 1);
  const auto interval =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / options.rate));
  const auto start = Clock::now();
  for (int i = 0; i < options.requests; ++i) {
    // Latency counts from the time at which a request is due, so that a late start shows up.
    const auto due = start + i * interval;
    std::this_thread::sleep_until(due);
    HttpRequest request;
    request.target = options.target;
    if (options.blocks > 0) request.target += "&client=" + ClientAddress(block(random));
    client.Send(*endpoint, std::move(request), kTimeout, [&results, due](const HttpResult& result) {
      results.Add(result, Clock::now() - due);
    });
  }
  results.Wait();
  const std::chrono::duration<double> seconds = Clock::now() - start;
  workers.Stop();
  fmt::print("{}\n", results.ToJson(seconds.count()).dump());
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace heatherspan

auto main(int argc, char** argv) -> int {
  heatherspan::Options options;
  CLI::App app("Load on one address: a bounded number of GET requests at a fixed rate");
  app.add_option("--endpoint", options.endpoint, "Address (IP:PORT)")->required();
  app.add_option("--target", options.target, "Path and query")->required();
  app.add_option("--blocks", options.blocks,
                 "Client blocks; each request names a client of a random one (0: none)");
  app.add_option("--rate", options.rate, "Requests/s")->check(CLI::Range(1.0, 50000.0));
  app.add_option("--requests", options.requests, "Number of requests")
      ->check(CLI::Range(1, 1000000));
  app.add_option("--connections", options.connections, "Most connections at one time")
      ->check(CLI::Range(1, 1000));
  app.add_option("--seed", options.seed, "Seed of the clients");
  CLI11_PARSE(app, argc, argv);
  return heatherspan::Run(options);
}
