#include "ctl/admin_client.h"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include "base/number_text.h"
#include "base/verdict.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr std::size_t kShownBodyBytes = 4000;

auto SameName(std::string_view a, std::string_view b) -> bool {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
    return std::tolower(x) == std::tolower(y);
  });
}

auto HeaderValue(const HttpResponse& response, std::string_view name) -> std::string_view {
  for (const auto& field : response.headers) {
    if (SameName(field.name, name)) return field.value;
  }
  return {};
}

auto CodeFor(int status) -> ExitCode {
  switch (status) {
    case 401:
    case 403:
      return ExitCode::kNotAuthorized;
    case 409:
      return ExitCode::kConflict;
    case 422:
      return ExitCode::kUnsoundDocument;
    default:
      return status >= 200 && status < 300 ? ExitCode::kDone : ExitCode::kFailure;
  }
}

/// The code for a write that a gateway error or an unavailable service answered. Without a verdict,
/// 503 means that the service did not take the request up.
auto UnavailableCode(const HttpResponse& response) -> ExitCode {
  const auto verdict = ParseVerdict(HeaderValue(response, "Heatherspan-Verdict"));
  const bool not_run = verdict.has_value() ? *verdict == Verdict::kNotRun : response.status == 503;
  return not_run ? ExitCode::kUnreachable : ExitCode::kOutcomeUnknown;
}

auto IsUnavailable(int status) -> bool { return status == 502 || status == 503 || status == 504; }

}  // namespace

auto AdminResult::Version() const -> std::uint64_t {
  return ParseNumber<std::uint64_t>(HeaderValue(response, "Heatherspan-Config-Version"))
      .value_or(0);
}

AdminClient::AdminClient(SendFunction send, std::vector<Endpoint> servers, std::string credential)
    : send_(std::move(send)), servers_(std::move(servers)), credential_(std::move(credential)) {}

auto AdminClient::Read(const std::string& path) -> AdminResult {
  HttpRequest request;
  request.target = path;
  return Send(Kind::kRead, request);
}

auto AdminClient::Write(const std::string& method, const std::string& path,
                        std::vector<HeaderField> headers, const std::string& body) -> AdminResult {
  HttpRequest request;
  request.method = method;
  request.target = path;
  request.headers = std::move(headers);
  request.body = body;
  return Send(Kind::kWrite, request);
}

auto AdminClient::Send(Kind kind, const HttpRequest& request) -> AdminResult {
  auto authorized = request;
  authorized.headers.push_back({"Authorization", "Bearer " + credential_});
  std::string errors;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const auto index = (preferred_ + i) % servers_.size();
    auto result = Judge(kind, servers_[index], send_(servers_[index], authorized));
    if (result.code != ExitCode::kUnreachable) {
      preferred_ = index;
      return result;
    }
    errors += (errors.empty() ? "" : "\n") + result.error;
  }
  AdminResult result;
  result.code = ExitCode::kUnreachable;
  result.error = errors;
  return result;
}

auto AdminClient::Judge(Kind kind, const Endpoint& server, HttpResult result) const -> AdminResult {
  AdminResult judged;
  if (!result.status.ok()) {
    const bool nothing_written = result.progress == SendProgress::kNothingWritten;
    judged.code =
        kind == Kind::kRead || nothing_written ? ExitCode::kUnreachable : ExitCode::kOutcomeUnknown;
    judged.error = fmt::format(
        "{}: {}", server.Text(),
        std::string_view(result.status.message().data(), result.status.message().size()));
    return judged;
  }
  judged.code = CodeFor(result.response.status);
  if (IsUnavailable(result.response.status)) {
    judged.code = kind == Kind::kRead ? ExitCode::kUnreachable : UnavailableCode(result.response);
  }
  if (!judged.ok()) {
    judged.error = fmt::format("{}: answered {}", server.Text(), result.response.status);
    // Other answers are shown as a whole by the command.
    if (IsUnavailable(result.response.status) && !result.response.body.empty()) {
      judged.error += ": " + result.response.body.substr(0, kShownBodyBytes);
    }
  }
  judged.response = std::move(result.response);
  return judged;
}

}  // namespace heatherspan
