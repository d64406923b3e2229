#include "soak/soak_caller.h"

#include <algorithm>
#include <random>

#include "base/number_text.h"
#include "fmt/format.h"
#include "platform/names.h"

namespace heatherspan {
namespace {

namespace names = platform_names;
using std::chrono::milliseconds;

/// Together with the work of the requests this fills about half of the targets' slots.
constexpr milliseconds kMeanPause(250);
constexpr milliseconds kLongestPause(3000);
/// While there is nobody to ask.
constexpr milliseconds kNoEntryPause(100);
constexpr double kLeavingPart = 0.06;
constexpr int kObjects = 12;
constexpr std::size_t kBookingBytes = 700;

auto Now() -> MonotonicTime { return SystemClock().Now(); }

}  // namespace

auto ToHttpRequest(const SentRequest& request, const std::string& host) -> HttpRequest {
  HttpRequest sent;
  sent.method = request.method;
  sent.target = request.target;
  sent.body = request.body;
  sent.headers = {
      {"Host", request.host.empty() ? host : request.host},
      {std::string(names::kRequestId), request.id},
      {std::string(names::kDeadline),
       std::to_string(std::chrono::duration_cast<milliseconds>(request.patience).count())},
      {"Cookie", fmt::format("{}={}", names::kAffinityCookie, request.target)}};
  return sent;
}

auto RecordResult(const std::string& id, const HttpResult& result, MonotonicTime now,
                  PromiseLedger& ledger) -> void {
  const auto& response = result.response;
  if (result.status.ok()) {
    ledger.OnAnswer(id,
                    {response.status, std::string(response.Header(names::kRequestId)),
                     std::string(response.Header(names::kSignature)), response.body},
                    now);
  } else if (absl::IsDeadlineExceeded(result.status)) {
    ledger.OnSilence(id, now);
  } else if (!absl::IsCancelled(result.status) &&
             result.progress != SendProgress::kNothingWritten) {
    ledger.OnConnectionEnd(id, now);
  }
}

SoakCaller::SoakCaller(int number, Manner manner, std::uint64_t seed, WorkerPool& workers,
                       const SoakCallerWorld& world, Guarded<PromiseLedger>& ledger)
    : number_(number),
      manner_(manner),
      random_(seed),
      workers_(workers),
      world_(world),
      ledger_(ledger),
      client_(workers,
              HttpClient::Limits{.max_connections_per_endpoint = 2, .forward_host = true}) {}

auto SoakCaller::Chance(double part) -> bool { return std::bernoulli_distribution(part)(random_); }

auto SoakCaller::ChooseEntry() -> bool {
  const auto& entries = world_.entries;
  const bool named = std::any_of(entries.begin(), entries.end(), [&](const SoakEntry& entry) {
    return entry.gateway == entry_.gateway;
  });
  if (!entry_.gateway.empty() && (manner_ == Manner::kClings || named)) return true;
  if (entries.empty()) return false;
  entry_ = entries[std::uniform_int_distribution<std::size_t>(0, entries.size() - 1)(random_)];
  return true;
}

auto SoakCaller::DrawRequest() -> SentRequest {
  const auto& routes = world_.shape->routes;
  std::vector<double> weights;
  weights.reserve(routes.size());
  for (const auto& route : routes) weights.push_back(route.weight);
  const bool harms = manner_ == Manner::kHarms;
  const auto& route = harms ? routes.front()
                            : routes[std::discrete_distribution<std::size_t>(
                                  weights.begin(), weights.end())(random_)];
  const int object = std::uniform_int_distribution(0, kObjects - 1)(random_);
  const auto work =
      Chance(route.long_part)
          ? static_cast<int>(route.long_work.count())
          : std::uniform_int_distribution(static_cast<int>(route.shortest_work.count()),
                                          static_cast<int>(route.longest_work.count()))(random_);
  SentRequest request;
  request.id = fmt::format("c{}-{}", number_, ++sent_);
  request.gateway = entry_.gateway;
  request.route = route.name;
  request.host = route.host;
  request.method = route.method;
  request.target = harms
                       ? fmt::format("/{}{}", route.path, std::string(PromiseLedger::kHarmfulPath))
                       : fmt::format("/{}/{}/{}", route.path, object, work);
  request.at_most_once = route.at_most_once();
  request.patience = route.patience;
  request.route_timeout = route.timeout;
  if (request.method != "GET") request.body = std::string(kBookingBytes, 'b') + request.id;
  return request;
}

auto SoakCaller::SendNext() -> void {
  if (world_.ended) return;
  const bool harms = manner_ == Manner::kHarms;
  if (harms) entry_ = {};
  if ((harms && world_.harmful == 0) || !ChooseEntry()) {
    Later(kNoEntryPause);
    return;
  }
  Send(DrawRequest());
}

auto SoakCaller::Send(const SentRequest& request) -> void {
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnSent(request, Now()); });
  exchange_ =
      client_.Send(entry_.endpoint, ToHttpRequest(request, world_.host), request.patience,
                   [this, id = request.id](const HttpResult& result) { OnResult(id, result); });
  if (!Chance(kLeavingPart)) return;
  const auto stay = milliseconds(std::uniform_int_distribution(50, 400)(random_));
  leave_ = workers_.RunAfter(stay, [this, id = request.id] {
    ledger_.With([&](PromiseLedger& ledger) { ledger.OnCallerGone(id, Now()); });
    if (exchange_ != nullptr) exchange_->Cancel();
  });
}

auto SoakCaller::OnResult(const std::string& id, const HttpResult& result) -> void {
  leave_.reset();
  exchange_.reset();
  const auto& response = result.response;
  const bool complete = result.status.ok();
  ledger_.With([&](PromiseLedger& ledger) { RecordResult(id, result, Now(), ledger); });
  if (!complete) entry_ = {};
  Duration pause = Duration::zero();
  if (const auto seconds = ParseNumber<double>(response.Header("Retry-After"))) {
    pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds));
    if (manner_ != Manner::kClings) entry_ = {};
  } else if (!world_.burst || manner_ == Manner::kHarms) {
    pause = milliseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(
        1.0 / static_cast<double>(kMeanPause.count()))(random_)));
  }
  Later(std::min<Duration>(pause, kLongestPause));
}

auto SoakCaller::Later(Duration pause) -> void {
  next_ = workers_.RunAfter(pause, [this] { SendNext(); });
}

}  // namespace heatherspan
