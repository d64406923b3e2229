#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "admin/admin_responses.h"
#include "admin/credential_check.h"
#include "admin/plan_json.h"
#include "base/number_text.h"
#include "base/time.h"
#include "config/config_repository.h"
#include "document/canonical.h"
#include "document/document_diff.h"
#include "document/document_reader.h"
#include "document/plan_change.h"
#include "net/http_request.h"
#include "net/http_response.h"

namespace heatherspan {

/// What the administration interface needs of the node.
struct AdminPorts {
  std::function<std::shared_ptr<const Document>()> document_in_force;
  std::function<ConfigVersion()> highest_seen;
  std::function<void()> on_promoted;
  std::function<nlohmann::ordered_json()> status;
  std::function<std::string()> metrics;
  std::function<bool()> is_ready;
  /// One line for each change that was accepted or refused.
  std::function<void(std::string_view action, std::string_view author, std::string_view result)>
      audit;
};

/// The HTTP interface for operators and monitoring. Calls block on the store. Thread-safe.
template <Store S>
class AdminApi {
 public:
  AdminApi(S& store, const EnvironmentName& environment, std::string credential, AdminPorts ports)
      : repository_(store, environment),
        credential_(std::move(credential)),
        ports_(std::move(ports)) {}

  auto Handle(const HttpRequest& request) -> HttpResponse {
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    if (path == "/metrics") return Text(200, ports_.metrics());
    if (path == "/healthz") return Text(200, "alive\n");
    if (path == "/readyz") {
      return ports_.is_ready() ? Text(200, "ready\n") : Text(503, "not ready\n");
    }
    const auto document = ports_.document_in_force();
    const auto caller =
        CheckCredential(request.Header("Authorization"), credential_, document.get());
    if (!caller.has_value()) return AdminError(401, "a valid credential is required");
    for (const auto& route : kRoutes) {
      if (route.path != path) continue;
      if (route.method == request.method) return (this->*route.handler)(request, *caller);
    }
    return AdminError(404, "no such path or method");
  }

 private:
  using Json = nlohmann::ordered_json;
  using Handler = auto(AdminApi::*)(const HttpRequest&, const AdminCaller&) -> HttpResponse;
  struct Route {
    std::string_view method;
    std::string_view path;
    Handler handler;
  };

  static constexpr std::size_t kHistoryLength = 50;

  static auto Text(int status, std::string body) -> HttpResponse {
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = std::move(body);
    return response;
  }

  /// The headers of a change; an error names the missing one.
  static auto ReadChange(const HttpRequest& request) -> absl::StatusOr<ConfigWrite> {
    ConfigWrite write;
    const auto base = ParseNumber<std::uint64_t>(request.Header("Base-Version"));
    if (!base.has_value()) {
      return absl::InvalidArgumentError("Base-Version: expected the version that was read, or 0");
    }
    write.base_version = ConfigVersion(*base);
    write.write_id = std::string(request.Header("Write-Id"));
    write.author = std::string(request.Header("Author"));
    write.reason = std::string(request.Header("Reason"));
    if (write.write_id.empty()) return absl::InvalidArgumentError("Write-Id is missing");
    if (write.author.empty()) return absl::InvalidArgumentError("Author is missing");
    write.time_unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             SystemClock().WallNow().time_since_epoch())
                             .count();
    return write;
  }

  auto ReadStage(bool trial) -> absl::StatusOr<std::optional<std::pair<Manifest, Document>>> {
    auto manifest = trial ? repository_.ReadTrial() : repository_.ReadProduction();
    if (!manifest.ok()) return manifest.status();
    if (!manifest->has_value()) return std::optional<std::pair<Manifest, Document>>();
    auto canonical = repository_.ReadDocument(**manifest);
    if (!canonical.ok()) return canonical.status();
    auto document = ReadCanonical(*canonical);
    if (!document.ok()) return document.status();
    return std::optional(std::make_pair(**std::move(manifest), *std::move(document)));
  }

  auto PutTrial(const HttpRequest& request, const AdminCaller& caller) -> HttpResponse {
    const auto write = ReadChange(request);
    if (!write.ok()) return AdminError(400, std::string(write.status().message()));
    const auto document = ReadDocument(request.body, "document");
    if (!document.ok()) {
      ports_.audit("put", write->author, "unsound");
      return AdminError(422, std::string(document.status().message()));
    }
    if (auto refusal = CheckRights(*document, caller); refusal.has_value()) {
      ports_.audit("put", write->author, "forbidden");
      return *std::move(refusal);
    }
    const auto manifest = repository_.PutTrial(WriteCanonical(*document), *write);
    ports_.audit("put", write->author, manifest.ok() ? "accepted" : "failed");
    if (!manifest.ok()) return AdminFailure(manifest.status());
    return AdminJson(200, {{"trial", ManifestJson(*manifest)}}, manifest->version);
  }

  /// The refusal for a team that changes more than its services.
  auto CheckRights(const Document& after, const AdminCaller& caller)
      -> std::optional<HttpResponse> {
    if (caller.is_operator()) return std::nullopt;
    auto production = ReadStage(/*trial=*/false);
    if (!production.ok()) return AdminFailure(production.status());
    const auto before = production->has_value() ? (*production)->second : Document();
    const auto foreign = ForeignChange(before, after, caller.team);
    if (!foreign.has_value()) return std::nullopt;
    return AdminError(403, fmt::format("team {} may change only its own services; the document "
                                       "changes {}",
                                       caller.team.value(), *foreign));
  }

  auto Promote(const HttpRequest& request, const AdminCaller& caller) -> HttpResponse {
    const auto write = ReadChange(request);
    if (!write.ok()) return AdminError(400, std::string(write.status().message()));
    const auto trial_version = ParseNumber<std::uint64_t>(request.Header("Trial-Version"));
    if (!trial_version.has_value()) return AdminError(400, "Trial-Version is missing");
    const auto trial = ReadStage(/*trial=*/true);
    if (!trial.ok()) return AdminFailure(trial.status());
    if (!trial->has_value()) return AdminError(404, "there is no document on trial");
    if (auto refusal = CheckRights((*trial)->second, caller); refusal.has_value()) {
      ports_.audit("promote", write->author, "forbidden");
      return *std::move(refusal);
    }
    const auto production = ReadStage(/*trial=*/false);
    if (!production.ok()) return AdminFailure(production.status());
    const auto before = production->has_value() ? (*production)->second : Document();
    const auto plan = PlanChange(before, (*trial)->second);
    if (!plan.errors.empty()) {
      ports_.audit("promote", write->author, "unsound");
      return AdminJson(422, {{"error", "the plan has faults"}, {"faults", plan.errors}});
    }
    const auto manifest =
        repository_.Promote(ConfigVersion(*trial_version), *write, ports_.highest_seen());
    ports_.audit("promote", write->author, manifest.ok() ? "accepted" : "failed");
    if (!manifest.ok()) return AdminFailure(manifest.status());
    ports_.on_promoted();
    return AdminJson(200, {{"production", ManifestJson(*manifest)}}, manifest->version);
  }

  auto ShowDocument(const HttpRequest& request, const AdminCaller& /*caller*/) -> HttpResponse {
    const bool trial = request.target.find("stage=trial") != std::string::npos;
    auto manifest = trial ? repository_.ReadTrial() : repository_.ReadProduction();
    if (!manifest.ok()) return AdminFailure(manifest.status());
    if (!manifest->has_value()) return AdminError(404, "there is no document at this stage");
    auto canonical = repository_.ReadDocument(**manifest);
    if (!canonical.ok()) return AdminFailure(canonical.status());
    auto response = AdminJson(200, {}, (*manifest)->version);
    response.headers.front().value = "text/plain";
    response.body = *std::move(canonical);
    return response;
  }

  auto ShowPlan(const HttpRequest& /*request*/, const AdminCaller& /*caller*/) -> HttpResponse {
    return Compare([](const Document& before, const Document& after) {
      return PlanJson(PlanChange(before, after));
    });
  }

  auto ShowDiff(const HttpRequest& /*request*/, const AdminCaller& /*caller*/) -> HttpResponse {
    return Compare([](const Document& before, const Document& after) {
      return Json{{"changes", DiffDocuments(before, after)}};
    });
  }

  /// Compares production with trial.
  template <class Function>
  auto Compare(Function&& function) -> HttpResponse {
    const auto trial = ReadStage(/*trial=*/true);
    if (!trial.ok()) return AdminFailure(trial.status());
    if (!trial->has_value()) return AdminError(404, "there is no document on trial");
    const auto production = ReadStage(/*trial=*/false);
    if (!production.ok()) return AdminFailure(production.status());
    const auto before = production->has_value() ? (*production)->second : Document();
    return AdminJson(200, function(before, (*trial)->second), (*trial)->first.version);
  }

  auto ShowHistory(const HttpRequest& /*request*/, const AdminCaller& /*caller*/) -> HttpResponse {
    const auto history = repository_.History(kHistoryLength);
    if (!history.ok()) return AdminFailure(history.status());
    Json list = Json::array();
    for (const auto& manifest : *history) list.push_back(ManifestJson(manifest));
    return AdminJson(200, {{"history", list}});
  }

  auto ShowStatus(const HttpRequest& /*request*/, const AdminCaller& /*caller*/) -> HttpResponse {
    return AdminJson(200, ports_.status());
  }

  static constexpr std::array<Route, 7> kRoutes = {{
      {"PUT", "/admin/v1/trial", &AdminApi::PutTrial},
      {"POST", "/admin/v1/promote", &AdminApi::Promote},
      {"GET", "/admin/v1/document", &AdminApi::ShowDocument},
      {"GET", "/admin/v1/plan", &AdminApi::ShowPlan},
      {"GET", "/admin/v1/diff", &AdminApi::ShowDiff},
      {"GET", "/admin/v1/history", &AdminApi::ShowHistory},
      {"GET", "/admin/v1/status", &AdminApi::ShowStatus},
  }};

  ConfigRepository<S> repository_;
  const std::string credential_;
  AdminPorts ports_;
};

}  // namespace heatherspan
