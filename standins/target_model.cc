#include "standins/target_model.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/number_text.h"
#include "nlohmann/json.hpp"
#include "standins/answer_body.h"

namespace heatherspan {
namespace {

using nlohmann::json;

constexpr std::string_view kRequestIdHeader = "Heatherspan-Request-Id";

auto Refused(std::string_view reason) -> HttpResponse {
  return {.status = 503, .headers = {{"Target-Refused", std::string(reason)}}, .body = ""};
}

/// Applies one setting; false if the key or the type of the value is another.
auto ChangeOne(TargetModel::Behaviour& behaviour, const std::string& key, const json& value)
    -> bool {
  if (value.is_boolean()) {
    const bool flag = value.get<bool>();
    if (key == "draining") return behaviour.draining = flag, true;
    if (key == "shedding") return behaviour.shedding = flag, true;
    if (key == "hanging") return behaviour.hanging = flag, true;
    return key == "cold";
  }
  if (value.is_null() && key == "reported_busy") return behaviour.reported_busy.reset(), true;
  if (!value.is_number_unsigned()) return false;
  const auto number = value.get<int>();
  if (key == "slots") return behaviour.slots = number, true;
  if (key == "service_ms") {
    behaviour.service_time = std::chrono::milliseconds(number);
    return true;
  }
  if (key == "reported_busy") return behaviour.reported_busy = number, true;
  if (key == "answer_bytes") {
    behaviour.answer_bytes = static_cast<std::size_t>(number);
    return true;
  }
  return false;
}

}  // namespace

TargetModel::TargetModel(std::string name, const Behaviour& behaviour, ExecutionLog& log)
    : name_(std::move(name)), behaviour_(behaviour), log_(log) {}

auto TargetModel::RefusalReason(const HttpRequest& request) const -> std::string_view {
  if (behaviour_.draining) return "draining";
  if (behaviour_.shedding) return "shed";
  if (running_.size() >= static_cast<std::size_t>(behaviour_.slots)) return "shed";
  const auto deadline = ParseNumber<std::uint32_t>(request.Header("Heatherspan-Deadline-Ms"));
  const bool late =
      deadline.has_value() && std::chrono::milliseconds(*deadline) < MeanServiceTime();
  return late ? "deadline" : "";
}

auto TargetModel::MeanServiceTime() const -> Duration {
  const int left = std::max(0, behaviour_.cold_requests - warm_requests_);
  const double part =
      behaviour_.cold_requests == 0 ? 0 : static_cast<double>(left) / behaviour_.cold_requests;
  const double factor = 1 + (behaviour_.cold_factor - 1) * part;
  return std::chrono::duration_cast<Duration>(behaviour_.service_time * factor);
}

auto TargetModel::Begin(const HttpRequest& request, MonotonicTime now, Random& random) -> Start {
  if (const auto reason = RefusalReason(request); !reason.empty()) {
    auto refusal = Refused(reason);
    refusal.headers.push_back(
        {std::string(kRequestIdHeader), std::string(request.Header(kRequestIdHeader))});
    return {.refusal = std::move(refusal)};
  }
  Running running{.log_index = 0,
                  .request_id = std::string(request.Header(kRequestIdHeader)),
                  .ticket = std::string(request.Header("Heatherspan-Ticket")),
                  .digest = RequestDigest(request.method, request.target, request.body)};
  running.log_index = log_.Add({.target = name_,
                                .request_id = running.request_id,
                                .ticket = running.ticket,
                                .method = request.method,
                                .path = request.target,
                                .digest = running.digest,
                                .started = now,
                                .state = Execution::State::kRunning});
  std::uniform_real_distribution<double> spread(0.5, 1.5);
  const auto service_time =
      std::chrono::duration_cast<Duration>(MeanServiceTime() * spread(random));
  ++warm_requests_;
  const auto id = ++last_execution_;
  running_.emplace(id, std::move(running));
  return {.refusal = std::nullopt, .execution = id, .service_time = service_time};
}

auto TargetModel::Finish(std::uint64_t execution) -> HttpResponse {
  const auto node = running_.extract(execution);
  if (node.empty()) return {.status = 500, .headers = {}, .body = "no such execution\n"};
  const auto& running = node.mapped();
  log_.SetState(running.log_index, Execution::State::kDone);
  const AnswerBody answer{.target = name_,
                          .request_id = running.request_id,
                          .ticket = running.ticket,
                          .digest = running.digest};
  return {.status = 200,
          .headers = {{"Content-Type", "text/plain"},
                      {std::string(kRequestIdHeader), running.request_id}},
          .body = answer.Compose(behaviour_.answer_bytes)};
}

auto TargetModel::Cancel(std::uint64_t execution) -> void {
  const auto node = running_.extract(execution);
  if (node.empty()) return;
  log_.SetState(node.mapped().log_index, Execution::State::kCancelled);
}

auto TargetModel::Health() const -> HttpResponse {
  if (behaviour_.draining) return Refused("draining");
  return {.status = 200, .headers = {}, .body = "ok\n"};
}

auto TargetModel::Load() const -> HttpResponse {
  const auto* state = behaviour_.draining                         ? "draining"
                      : warm_requests_ < behaviour_.cold_requests ? "cold"
                                                                  : "ready";
  const json body = {{"slots", behaviour_.slots},
                     {"busy", behaviour_.reported_busy.value_or(static_cast<int>(running_.size()))},
                     {"state", state}};
  return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

auto TargetModel::Change(std::string_view json_text) -> bool {
  const auto given = json::parse(json_text, nullptr, /*allow_exceptions=*/false);
  if (!given.is_object()) return false;
  auto changed = behaviour_;
  for (const auto& [key, value] : given.items()) {
    if (!ChangeOne(changed, key, value)) return false;
  }
  behaviour_ = changed;
  if (given.value("cold", false)) warm_requests_ = 0;
  return true;
}

}  // namespace heatherspan
