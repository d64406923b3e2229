#include "standins/target_host.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <utility>

#include "base/stable_hash.h"
#include "nlohmann/json.hpp"
#include "standins/request_target.h"
#include "standins/standin_server.h"

namespace heatherspan {
namespace {

using Exchange = std::shared_ptr<StandinServer::Exchange>;
using Timer = boost::asio::steady_timer;

/// A target of the deployments takes this long to answer a probe.
constexpr auto kProbeTime = std::chrono::milliseconds(6);
constexpr std::string_view kTargetPrefix = "/control/targets/";

}  // namespace

/// One target: its model, its listener and its running requests.
class TargetHost::Served : public std::enable_shared_from_this<Served> {
 public:
  Served(boost::asio::io_context& context, TargetModel model, std::size_t max_connections,
         std::uint64_t seed)
      : context_(context), model_(std::move(model)), random_(seed) {
    server_.emplace(context, StandinServer::Limits{.max_connections = max_connections},
                    [this](const HttpRequest& request, const Exchange& exchange) {
                      Handle(request, exchange);
                    });
  }

  auto Listen(const Endpoint& endpoint) { return server_->Listen(endpoint); }
  auto Change(std::string_view json_text) -> bool { return model_.Change(json_text); }

 private:
  auto Handle(const HttpRequest& request, const Exchange& exchange) -> void {
    if (request.target.starts_with("/-/")) return HandleProbe(request, exchange);
    auto start = model_.Begin(request, clock_.Now(), random_);
    if (start.refusal.has_value()) return exchange->Respond(*std::move(start.refusal));
    const auto timer = std::make_shared<Timer>(context_);
    exchange->OnClose([weak = weak_from_this(), timer, execution = start.execution] {
      timer->cancel();
      if (const auto self = weak.lock()) self->model_.Cancel(execution);
    });
    if (model_.behaviour().hanging) return;
    timer->expires_after(start.service_time);
    timer->async_wait([weak = weak_from_this(), timer, exchange,
                       execution = start.execution](boost::system::error_code error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) exchange->Respond(self->model_.Finish(execution));
    });
  }

  auto HandleProbe(const HttpRequest& request, const Exchange& exchange) -> void {
    if (model_.behaviour().hanging) return;
    HttpResponse response{.status = 404, .headers = {}, .body = ""};
    if (request.target == "/-/load") response = model_.Load();
    if (request.target == "/-/health") response = model_.Health();
    const auto timer = std::make_shared<Timer>(context_, kProbeTime);
    timer->async_wait([timer, exchange, response](boost::system::error_code error) {
      if (!error) exchange->Respond(response);
    });
  }

  boost::asio::io_context& context_;
  TargetModel model_;
  Random random_;
  SystemClock clock_;
  std::optional<StandinServer> server_;
};

class TargetHost::Impl {
 public:
  Impl(boost::asio::io_context& context, std::uint64_t seed) : context_(context), seed_(seed) {
    control_.emplace(context, StandinServer::Limits{},
                     [this](const HttpRequest& request, const Exchange& exchange) {
                       exchange->Respond(Control(request));
                     });
  }

  auto Add(const std::string& name, const Endpoint& endpoint,
           const TargetModel::Behaviour& behaviour, std::size_t max_connections)
      -> absl::StatusOr<Endpoint> {
    if (targets_.contains(name)) return absl::AlreadyExistsError("two targets are called " + name);
    auto served = std::make_shared<Served>(context_, TargetModel(name, behaviour, log_),
                                           max_connections, StableHash(name, seed_));
    auto taken = served->Listen(endpoint);
    if (taken.ok()) targets_.emplace(name, std::move(served));
    return taken;
  }

  auto ListenControl(const Endpoint& endpoint) { return control_->Listen(endpoint); }

 private:
  auto Control(const HttpRequest& request) -> HttpResponse {
    const auto target = RequestTarget::Parse(request.target);
    if (request.method == "GET" && target.path == "/control/executions") {
      return {.status = 200,
              .headers = {{"Content-Type", "application/json"}},
              .body = log_.ToJson().dump()};
    }
    const auto name = target.After(kTargetPrefix);
    if (request.method != "PUT" || name.empty()) return {.status = 404, .headers = {}, .body = ""};
    return {.status = ChangeTargets(name, request.body), .headers = {}, .body = ""};
  }

  auto ChangeTargets(std::string_view name, std::string_view json_text) -> int {
    bool found = false;
    for (const auto& [other, served] : targets_) {
      if (name != "*" && name != other) continue;
      found = true;
      if (!served->Change(json_text)) return 400;
    }
    return found ? 200 : 404;
  }

  boost::asio::io_context& context_;
  std::uint64_t seed_;
  ExecutionLog log_;
  std::map<std::string, std::shared_ptr<Served>> targets_;
  std::optional<StandinServer> control_;
};

TargetHost::TargetHost(boost::asio::io_context& context, std::uint64_t seed)
    : impl_(std::make_shared<Impl>(context, seed)) {}

TargetHost::~TargetHost() = default;

auto TargetHost::Add(const std::string& name, const Endpoint& endpoint,
                     const TargetModel::Behaviour& behaviour, std::size_t max_connections)
    -> absl::StatusOr<Endpoint> {
  return impl_->Add(name, endpoint, behaviour, max_connections);
}

auto TargetHost::ListenControl(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->ListenControl(endpoint);
}

}  // namespace heatherspan
