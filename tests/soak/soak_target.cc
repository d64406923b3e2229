#include "soak/soak_target.h"

#include <algorithm>

#include "base/number_text.h"
#include "fmt/format.h"
#include "platform/names.h"
#include "soak/soak_backend_calls.h"

namespace heatherspan {
namespace {

namespace names = platform_names;
using std::chrono::milliseconds;

constexpr int kMisdirected = 421;
constexpr int kFailed = 500;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;
/// One in so many requests.
constexpr int kRefusedWhenNearlyFull = 3;
/// What a target that sheds load asks for.
constexpr Duration kPause = milliseconds(1500);

/// The path ends in the milliseconds that the work takes.
auto WorkTime(std::string_view target) -> Duration {
  constexpr int kDefault = 50;
  return milliseconds(ParseNumber<int>(target.substr(target.rfind('/') + 1)).value_or(kDefault));
}

auto Now() -> MonotonicTime { return SystemClock().Now(); }

}  // namespace

SoakTarget::SoakTarget(WorkerPool& workers, const Endpoint& listen, Guarded<PromiseLedger>& ledger,
                       const Manner& manner, SoakBackendCalls& calls, std::function<void()> on_harm)
    : workers_(workers),
      ledger_(ledger),
      manner_(manner),
      calls_(calls),
      on_harm_(std::move(on_harm)),
      server_(workers,
              HttpServer::Limits{.idle_timeout = manner.idle_timeout, .watch_disconnects = true},
              [this](const HttpRequest& request, const HttpServer::Responder& respond) {
                Handle(request, respond);
              }) {
  if (const auto bound = server_.Listen(listen); !bound.ok()) {
    ledger_.With([&](PromiseLedger& ledger_value) {
      ledger_value.OnProcessEnd("target stand-in", false, std::string(bound.status().message()));
    });
  }
}

auto SoakTarget::Become(const Identity& identity, bool cold) -> void {
  workers_.Post([this, identity, cold] {
    StateLimit(std::nullopt);
    identity_ = identity;
    draining_ = false;
    cold_until_ = cold ? Now() + kColdTime : MonotonicTime{};
  });
}

auto SoakTarget::SetDraining(bool draining) -> void {
  workers_.Post([this, draining] { draining_ = draining; });
}

auto SoakTarget::SetShedding(bool shedding) -> void {
  workers_.Post([this, shedding] { shedding_ = shedding; });
}

auto SoakTarget::SetNearlyFull(bool nearly_full) -> void {
  workers_.Post([this, nearly_full] { nearly_full_ = nearly_full; });
}

auto SoakTarget::SetLimit(std::optional<double> per_second) -> void {
  workers_.Post([this, per_second] { StateLimit(per_second); });
}

auto SoakTarget::StateLimit(std::optional<double> per_second) -> void {
  limit_ = per_second;
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnLimit(identity_.name, per_second, Now()); });
}

auto SoakTarget::ColdLeft() const -> Duration {
  return std::max(Duration::zero(), cold_until_ - Now());
}

auto SoakTarget::Health() const -> HttpResponse {
  HttpResponse response;
  response.status = draining_ ? kUnavailable : 200;
  const auto cold = std::chrono::duration_cast<milliseconds>(ColdLeft()).count();
  response.headers = {{std::string(names::kInstance), identity_.name},
                      {std::string(names::kColdLeft), std::to_string(cold)}};
  return response;
}

auto SoakTarget::Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void {
  if (request.target == "/health") {
    respond(Health());
    return;
  }
  SeenArrival arrival;
  arrival.id = std::string(request.Header(names::kRequestId));
  arrival.target_name = identity_.name;
  arrival.service = identity_.service;
  arrival.zone = identity_.zone;
  arrival.region = identity_.region;
  arrival.method = request.method;
  arrival.target = request.target;
  arrival.body = request.body;
  arrival.time_left =
      milliseconds(ParseNumber<int>(request.Header(names::kDeadline)).value_or(INT32_MAX));
  const auto expected = request.Header(names::kExpectedInstance);
  arrival.misdirected = !expected.empty() && expected != identity_.name;
  arrival.cold = ColdLeft() > Duration::zero();
  arrival.work = WorkTime(request.target);
  const bool full =
      running_ >= kSlots + kQueue || (nearly_full_ && ++arrivals_ % kRefusedWhenNearlyFull == 0);
  arrival.runs = !arrival.misdirected && !shedding_ && !full;
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnArrival(arrival, Now()); });
  if (arrival.runs && PromiseLedger::IsHarmful(request.target)) {
    on_harm_();
    return;
  }
  if (arrival.runs) {
    Work(arrival, request, respond);
    return;
  }
  auto refusal = Refusal(arrival);
  if (!arrival.misdirected) AddNotices(arrival, refusal);
  respond(std::move(refusal));
}

auto SoakTarget::AddNotices(const SeenArrival& arrival, HttpResponse& response) -> void {
  if (draining_) {
    response.headers.push_back({std::string(names::kLeaving), "1"});
    ledger_.With([&](PromiseLedger& ledger) {
      ledger.OnLeavingTold(arrival.target_name, arrival.id, Now());
    });
  }
  if (shedding_ && response.status == kUnavailable) {
    const auto seconds = std::chrono::duration<double>(kPause).count();
    response.headers.push_back({std::string(names::kRetryAfter), fmt::format("{}", seconds)});
    ledger_.With([&](PromiseLedger& ledger) {
      ledger.OnPauseTold(arrival.target_name, arrival.id, Now() + kPause, Now());
    });
  }
}

auto SoakTarget::Refusal(const SeenArrival& arrival) const -> HttpResponse {
  HttpResponse response;
  response.status = arrival.misdirected ? kMisdirected : kUnavailable;
  if (arrival.misdirected && manner_.follows_pages) {
    response.headers = {{std::string(names::kInstance), identity_.name}};
  } else {
    response.headers = {{std::string(names::kNotExecuted), "1"}};
  }
  if (!manner_.follows_pages && (arrival.id.back() - '0') % 2 == 0) {
    response.headers.push_back({std::string(names::kRequestId), arrival.id});
  }
  return response;
}

auto SoakTarget::Answer(const SeenArrival& arrival, int status) -> HttpResponse {
  HttpResponse response;
  response.status = status;
  response.headers = {
      {std::string(names::kSignature), arrival.target_name},
      {std::string(names::kRequestId), arrival.id},
      {std::string(names::kLoad), fmt::format("{},{},{}", std::min(running_, kSlots),
                                              std::max(0, running_ - kSlots), kSlots)}};
  AddNotices(arrival, response);
  if (limit_.has_value()) {
    response.headers.push_back({std::string(names::kTargetLimit), fmt::format("{}", *limit_)});
    ledger_.With(
        [&](PromiseLedger& ledger) { ledger.OnLimitTold(arrival.target_name, arrival.id, Now()); });
  }
  response.body = PromiseLedger::ExpectedBody(arrival.target_name, arrival.id);
  return response;
}

auto SoakTarget::Work(const SeenArrival& arrival, const HttpRequest& request,
                      const HttpServer::Responder& respond) -> void {
  struct Run {
    int steps = 1;  ///< Its own work, and the call that it makes.
    int status = 200;
    bool ended = false;
    std::function<void()> abandon_call;
    std::shared_ptr<WorkerPool::Timer> timer;
  };
  ++running_;
  // What has to wait for a slot ends later by its share.
  const auto time = arrival.work * std::max(1, (running_ + kSlots - 1) / kSlots);
  const auto run = std::make_shared<Run>();
  const auto end = [this, run, id = arrival.id] {
    if (std::exchange(run->ended, true)) return false;
    --running_;
    ledger_.With([&](PromiseLedger& ledger) { ledger.OnWorkEnd(id, Now()); });
    return true;
  };
  const auto end_step = [this, run, end, respond, arrival] {
    if (--run->steps > 0 || !end()) return;
    run->abandon_call = {};
    respond(Answer(arrival, run->status));
  };
  request.disconnect->on_disconnect = [run, end] {
    if (!end()) return;
    if (const auto abandon = std::exchange(run->abandon_call, {})) abandon();
  };
  run->abandon_call = calls_.Begin(arrival, [run, end_step](bool served) {
    if (!served) run->status = kFailed;
    end_step();
  });
  if (run->abandon_call) ++run->steps;
  const bool is_late = manner_.follows_pages && time > arrival.time_left;
  if (is_late) run->status = kTimeout;
  run->timer = workers_.RunAfter(is_late ? arrival.time_left : time, [run, end_step] {
    const auto keep = std::exchange(run->timer, nullptr);
    end_step();
  });
}

}  // namespace heatherspan
