#include "admin/admin_responses.h"

#include "base/verdict.h"

namespace heatherspan {
namespace {

struct Failure {
  int status;
  std::string_view verdict;
};

auto FailureOf(absl::StatusCode code) -> Failure {
  switch (code) {
    case absl::StatusCode::kFailedPrecondition:
    case absl::StatusCode::kAborted:
      return {409, VerdictText(Verdict::kNotRun)};
    case absl::StatusCode::kNotFound:
      return {404, VerdictText(Verdict::kNotRun)};
    case absl::StatusCode::kInvalidArgument:
      return {422, VerdictText(Verdict::kNotRun)};
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kResourceExhausted:
      return {503, VerdictText(Verdict::kNotRun)};
    default:
      return {502, VerdictText(Verdict::kMayHaveRun)};
  }
}

}  // namespace

auto AdminJson(int status, const nlohmann::ordered_json& body, ConfigVersion version)
    -> HttpResponse {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  if (version.value() != 0) {
    response.headers.push_back({"Heatherspan-Config-Version", std::to_string(version.value())});
  }
  response.body =
      body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n";
  return response;
}

auto AdminError(int status, std::string_view message) -> HttpResponse {
  return AdminJson(status, {{"error", message}});
}

auto AdminFailure(const absl::Status& status) -> HttpResponse {
  const auto failure = FailureOf(status.code());
  auto response = AdminError(failure.status, std::string(status.message()));
  response.headers.push_back({"Heatherspan-Verdict", std::string(failure.verdict)});
  return response;
}

}  // namespace heatherspan
