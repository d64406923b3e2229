#include "soak/soak_backend_calls.h"

#include <algorithm>

#include "fmt/format.h"

namespace heatherspan {
SoakBackendCalls::SoakBackendCalls(WorkerPool& workers, std::uint64_t seed, const SoakShape& shape,
                                   std::string host, Guarded<PromiseLedger>& ledger)
    : shape_(shape),
      host_(std::move(host)),
      ledger_(ledger),
      client_(workers, HttpClient::Limits{.forward_host = true}),
      random_(seed) {}

auto SoakBackendCalls::Begin(const SeenArrival& arrival, Done done) -> std::function<void()> {
  const auto* caller =
      shape_.Route(std::string_view(arrival.target).substr(1, arrival.target.find('/', 1) - 1));
  if (caller == nullptr || caller->calls.empty() || entries_.empty()) return {};
  const auto& route = *shape_.Route(caller->calls);
  const auto& entry = entries_[random_() % entries_.size()];
  SentRequest request;
  request.id = fmt::format("b{}", ++sent_);
  request.gateway = entry.gateway;
  request.route = route.name;
  request.method = route.method;
  request.target =
      fmt::format("/{}/{}/{}", route.name, random_() % 12, route.shortest_work.count());
  request.at_most_once = route.at_most_once();
  request.patience = std::min(arrival.time_left, route.patience);
  request.route_timeout = route.timeout;
  ledger_.With([&](PromiseLedger& ledger) { ledger.OnSent(request, SystemClock().Now()); });
  auto exchange =
      client_.Send(entry.endpoint, ToHttpRequest(request, host_), request.patience,
                   [this, id = request.id, done = std::move(done)](const HttpResult& result) {
                     ledger_.With([&](PromiseLedger& ledger) {
                       RecordResult(id, result, SystemClock().Now(), ledger);
                     });
                     done(result.status.ok() && result.response.status == 200);
                   });
  return [this, exchange, id = request.id] {
    ledger_.With([&](PromiseLedger& ledger) { ledger.OnCallerGone(id, SystemClock().Now()); });
    exchange->Cancel();
  };
}

}  // namespace heatherspan
