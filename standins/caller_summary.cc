#include "standins/caller_summary.h"

#include <algorithm>
#include <cmath>

#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "standins/answer_body.h"

namespace heatherspan {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

auto Rounded(double milliseconds) -> double { return std::round(milliseconds * 10) / 10; }

/// The smallest value that at least the fraction of the sorted values does not exceed.
auto Percentile(const std::vector<double>& sorted, double fraction) -> double {
  if (sorted.empty()) return 0;
  const auto rank =
      static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size())));
  return Rounded(sorted[std::max<std::size_t>(rank, 1) - 1]);
}

}  // namespace

auto CallerSummary::Add(const Operation& operation, const OperationResult& result) -> void {
  auto& service = services_[operation.service];
  ++service.operations;
  ++service.outcomes[result.outcome];
  service.repeated += static_cast<std::uint64_t>(result.repeats);
  service.lost += result.lost_at.size();
  service.connect_failures += static_cast<std::uint64_t>(result.connect_failures);
  for (const auto& refusal : result.refusals) ++service.refusals[refusal];
  for (const auto& address : result.lost_at) ++lost_at_[address];
  if (result.outcome == Outcome::kAnswered) {
    service.latencies_ms.push_back(Milliseconds(result.duration).count());
  } else {
    ++service.ended[fmt::format("{}: {}", OutcomeText(result.outcome), result.detail)];
  }
}

auto CallerSummary::wrong() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto& [name, service] : services_) {
    const auto found = service.outcomes.find(Outcome::kWrong);
    if (found != service.outcomes.end()) sum += found->second;
  }
  return sum;
}

auto CallerSummary::ServiceToJson(const Service& service) -> nlohmann::json {
  auto sorted = service.latencies_ms;
  std::sort(sorted.begin(), sorted.end());
  nlohmann::json json = {{"operations", service.operations},
                         {"repeated", service.repeated},
                         {"lost", service.lost},
                         {"connect_failures", service.connect_failures},
                         {"refusals", service.refusals},
                         {"ended", service.ended},
                         {"latency_ms",
                          {{"p50", Percentile(sorted, 0.5)},
                           {"p90", Percentile(sorted, 0.9)},
                           {"p99", Percentile(sorted, 0.99)},
                           {"max", Percentile(sorted, 1)}}}};
  for (const auto outcome :
       {Outcome::kAnswered, Outcome::kRefused, Outcome::kUnknown, Outcome::kWrong}) {
    const auto found = service.outcomes.find(outcome);
    json[OutcomeText(outcome)] = found == service.outcomes.end() ? 0 : found->second;
  }
  return json;
}

auto CallerSummary::ToJson() const -> nlohmann::json {
  auto services = nlohmann::json::object();
  for (const auto& [name, service] : services_) services[name] = ServiceToJson(service);
  return {{"services", std::move(services)}, {"lost_at", lost_at_}};
}

auto RecordLine(const Operation& operation, const OperationResult& result) -> std::string {
  using std::chrono::milliseconds;
  const auto started = std::chrono::duration_cast<milliseconds>(result.started.time_since_epoch());
  const nlohmann::json json = {
      {"service", operation.service},
      {"method", operation.method},
      {"request_id", operation.request_id},
      {"digest", RequestDigest(operation.method, operation.path, operation.body)},
      {"tickets", result.tickets},
      {"outcome", OutcomeText(result.outcome)},
      {"detail", result.detail},
      {"lost_at", result.lost_at},
      {"started_ms", started.count()},
      {"duration_ms", Rounded(Milliseconds(result.duration).count())}};
  return json.dump() + "\n";
}

}  // namespace heatherspan
