// Requests per second and processor time per request of HttpServer and of peer calls over loopback,
// with both sides in one process, each on one worker of its own.

#include <benchmark/benchmark.h>

#include <atomic>
#include <ctime>
#include <functional>
#include <future>
#include <string>

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

constexpr int kCalls = 50'000;
constexpr auto kTimeout = std::chrono::seconds(10);
constexpr auto kRunTimeout = std::chrono::seconds(120);
constexpr std::size_t kBodyBytes = 300;  // About a look-up answer.

auto Loopback() -> Endpoint { return {"127.0.0.1", 0}; }

/// Processor time that the only worker of the pool has used, in seconds.
auto WorkerSeconds(WorkerPool& workers) -> double {
  std::promise<double> seconds;
  workers.Post([&seconds] {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    seconds.set_value(static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9);
  });
  return seconds.get_future().get();
}

/// Makes a fixed number of calls, some of them at once; each starts the next when it ends.
class Load {
 public:
  using Done = std::function<void(bool ok)>;
  using Call = std::function<void(Done)>;

  Load(int at_once, Call call) : at_once_(at_once), call_(std::move(call)) {}

  /// False if a call failed or the time ran out.
  auto Run() -> bool {
    auto finished = finished_.get_future();
    for (int i = 0; i < at_once_; ++i) Next();
    return finished.wait_for(kRunTimeout) == std::future_status::ready && failed_.load() == 0;
  }

 private:
  auto Next() -> void {
    if (started_.fetch_add(1) >= kCalls) return;
    call_([this](bool ok) {
      if (!ok) failed_.fetch_add(1);
      if (ended_.fetch_add(1) + 1 == kCalls) {
        finished_.set_value();
        return;
      }
      Next();
    });
  }

  const int at_once_;
  const Call call_;
  std::promise<void> finished_;
  std::atomic<int> started_{0};
  std::atomic<int> ended_{0};
  std::atomic<int> failed_{0};
};

auto Measure(benchmark::State& state, WorkerPool& server_workers, WorkerPool& client_workers,
             const Load::Call& call) -> void {
  double server_seconds = 0;
  double client_seconds = 0;
  for (auto unused : state) {
    static_cast<void>(unused);
    const double server_start = WorkerSeconds(server_workers);
    const double client_start = WorkerSeconds(client_workers);
    if (!Load(static_cast<int>(state.range(0)), call).Run()) state.SkipWithError("a call failed");
    server_seconds += WorkerSeconds(server_workers) - server_start;
    client_seconds += WorkerSeconds(client_workers) - client_start;
  }
  const double calls = static_cast<double>(state.iterations()) * kCalls;
  state.SetItemsProcessed(state.iterations() * kCalls);
  state.counters["server_us"] = server_seconds / calls * 1e6;
  state.counters["client_us"] = client_seconds / calls * 1e6;
}

auto HttpRequests(benchmark::State& state) -> void {
  WorkerPool server_workers(1);
  WorkerPool client_workers(1);
  HttpServer server(server_workers, {},
                    [](const HttpRequest& /*request*/, const HttpServer::Responder& respond) {
                      HttpResponse response;
                      response.headers = {{"Content-Type", "application/json"}};
                      response.body = std::string(kBodyBytes, 'x');
                      respond(std::move(response));
                    });
  const auto endpoint = server.Listen(Loopback());
  HttpClient client(client_workers, {});
  HttpRequest request;
  request.target = "/v1/lookup?service=survey-desk&client=192.0.2.1";
  request.headers = {{"Accept", "application/json"}, {"User-Agent", "http_bench"}};
  Measure(state, server_workers, client_workers, [&](const Load::Done& done) {
    client.Send(*endpoint, request, kTimeout,
                [done](const HttpResult& result) { done(result.status.ok()); });
  });
  client_workers.Stop();
  server_workers.Stop();
}

auto PeerCalls(benchmark::State& state) -> void {
  constexpr InstanceId kServer{1};
  constexpr InstanceId kClient{2};
  WorkerPool server_workers(1);
  WorkerPool client_workers(1);
  PeerServer server(server_workers, kServer, "key",
                    [](InstanceId, const PeerRequest&, const PeerServer::Responder& respond) {
                      ForwardResponse response;
                      response.verdict = Verdict::kRan;
                      response.status = 200;
                      response.body = std::string(kBodyBytes, 'x');
                      respond(std::move(response));
                    });
  const auto endpoint = server.Listen(Loopback());
  PeerClient client(client_workers, kClient, "key");
  ForwardRequest request;
  request.service = ServiceName("survey-desk");
  request.method = "GET";
  request.path = "/ledges";
  request.headers = {{"Accept", "application/json"}, {"User-Agent", "http_bench"}};
  Measure(state, server_workers, client_workers, [&](const Load::Done& done) {
    client.Call(*endpoint, kServer, request, kTimeout,
                [done](const PeerResult& result) { done(result.status.ok()); });
  });
  client_workers.Stop();
  server_workers.Stop();
}

// With one call at once, each pays for wake-ups of its own, as at a low rate.
BENCHMARK(HttpRequests)->ArgName("at_once")->Arg(1)->Arg(32)->Iterations(1)->UseRealTime();
BENCHMARK(PeerCalls)->ArgName("at_once")->Arg(1)->Arg(32)->Iterations(1)->UseRealTime();

}  // namespace
}  // namespace heatherspan
