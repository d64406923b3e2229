#include "platform/http_store.h"

#include <algorithm>
#include <utility>

#include "base/number_text.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"
#include "platform/platform_caller.h"

namespace heatherspan {
namespace {

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kRevisionDiffers = 412;
constexpr int kServiceRefused = 503;

auto Unexpected(std::string_view what, const HttpResponse& response) -> absl::Status {
  const auto text = fmt::format("the store answered {} to {}", response.status, what);
  return response.status >= 500 ? absl::UnavailableError(text)
                                : absl::FailedPreconditionError(text);
}

auto Revision(const HttpResponse& response) -> std::optional<std::uint64_t> {
  return ParseNumber<std::uint64_t>(response.Header("Revision"));
}

/// Keys appear in request targets without encoding.
auto IsKeyCharacter(char c) -> bool {
  const bool alphanumeric =
      (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
  return alphanumeric || c == '/' || c == '-' || c == '_' || c == '.';
}

auto ToStoredValue(HttpResponse response, std::string_view what)
    -> absl::StatusOr<std::optional<StoredValue>> {
  const auto revision = Revision(response);
  if (!revision.has_value()) {
    return absl::InternalError(fmt::format("the store's answer to {} has no revision", what));
  }
  return StoredValue{.value = std::move(response.body), .revision = *revision};
}

/// Maps a complete answer to a write; a failed exchange is mapped by its progress.
auto AnsweredWrite(const HttpResponse& response) -> StoreWriteResult {
  const auto revision = Revision(response);
  if (response.status == kOk && revision.has_value()) {
    return {.effect = WriteEffect::kTookEffect, .revision = *revision, .status = {}};
  }
  if (response.status == kRevisionDiffers && revision.has_value()) {
    return {.effect = WriteEffect::kConflict,
            .revision = *revision,
            .status = absl::AbortedError("the key has another revision")};
  }
  const bool refused =
      response.status == kServiceRefused || (response.status >= 400 && response.status < 500);
  return {.effect = refused ? WriteEffect::kNoEffect : WriteEffect::kUnknown,
          .revision = 0,
          .status = Unexpected("a write", response)};
}

}  // namespace

HttpStore::HttpStore(PlatformCaller& caller, std::string key_prefix)
    : caller_(caller), key_prefix_(std::move(key_prefix)) {}

auto HttpStore::KeyTarget(const std::string& key) const -> absl::StatusOr<std::string> {
  if (key.empty() || !std::all_of(key.begin(), key.end(), IsKeyCharacter)) {
    return absl::InvalidArgumentError(fmt::format(
        "\"{}\" is not a key; expected letters, digits and the characters / - _ .", key));
  }
  return fmt::format("/v1/kv/{}{}", key_prefix_, key);
}

auto HttpStore::Read(const std::string& key) -> absl::StatusOr<std::optional<StoredValue>> {
  const auto target = KeyTarget(key);
  if (!target.ok()) return target.status();
  auto result =
      caller_.Call({.method = "GET", .target = *target, .headers = {}, .body = "", .remote = {}});
  if (!result.status.ok()) return result.status;
  if (result.response.status == kNotFound) return std::optional<StoredValue>();
  if (result.response.status != kOk) return Unexpected("a read", result.response);
  return ToStoredValue(std::move(result.response), "a read");
}

auto HttpStore::Write(const std::string& key, const std::string& value, std::uint64_t if_revision,
                      const std::optional<StoreLeaseId>& lease) -> StoreWriteResult {
  const auto target = KeyTarget(key);
  if (!target.ok()) {
    return {.effect = WriteEffect::kNoEffect, .revision = 0, .status = target.status()};
  }
  HttpRequest request{.method = "PUT",
                      .target = *target,
                      .headers = {{"If-Revision", std::to_string(if_revision)}},
                      .body = value,
                      .remote = {}};
  if (lease.has_value()) request.headers.push_back({"Lease", std::to_string(lease->value())});
  const auto result = caller_.Call(std::move(request));
  if (result.status.ok()) return AnsweredWrite(result.response);
  const bool sent = result.progress != SendProgress::kNothingWritten;
  return {.effect = sent ? WriteEffect::kUnknown : WriteEffect::kNoEffect,
          .revision = 0,
          .status = result.status};
}

auto HttpStore::Wait(const std::string& key, std::uint64_t revision, Duration duration)
    -> absl::StatusOr<std::optional<StoredValue>> {
  const auto target = KeyTarget(key);
  if (!target.ok()) return target.status();
  if (waiting_.exchange(true)) {
    return absl::ResourceExhaustedError("another wait on the store is outstanding");
  }
  auto stored = SendWait(*target, revision, duration);
  waiting_ = false;
  return stored;
}

auto HttpStore::SendWait(const std::string& target, std::uint64_t revision, Duration duration)
    -> absl::StatusOr<std::optional<StoredValue>> {
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
  auto result =
      caller_.Call({.method = "GET",
                    .target = fmt::format("{}?after={}&wait_ms={}", target, revision, wait.count()),
                    .headers = {},
                    .body = "",
                    .remote = {}},
                   duration);
  if (!result.status.ok()) return result.status;
  if (result.response.status == kNotModified) return std::optional<StoredValue>();
  if (result.response.status == kNotFound) {
    if (revision == 0) return std::optional<StoredValue>();
    return StoredValue{.value = "", .revision = 0};
  }
  if (result.response.status != kOk) return Unexpected("a wait", result.response);
  return ToStoredValue(std::move(result.response), "a wait");
}

auto HttpStore::GrantLease(Duration lifetime) -> absl::StatusOr<StoreLeaseId> {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(lifetime);
  const auto result =
      caller_.Call({.method = "POST",
                    .target = fmt::format("/v1/leases?ttl_ms={}", milliseconds.count()),
                    .headers = {},
                    .body = "",
                    .remote = {}});
  if (!result.status.ok()) return result.status;
  if (result.response.status != kOk) return Unexpected("a lease request", result.response);
  const auto json =
      nlohmann::json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("id") || !json["id"].is_number_unsigned()) {
    return absl::InternalError("the store's answer to a lease request has no lease id");
  }
  return StoreLeaseId(json["id"].get<std::uint64_t>());
}

auto HttpStore::KeepAlive(StoreLeaseId lease) -> absl::Status {
  const auto result = caller_.Call({.method = "PUT",
                                    .target = fmt::format("/v1/leases/{}", lease.value()),
                                    .headers = {},
                                    .body = "",
                                    .remote = {}});
  if (!result.status.ok()) return result.status;
  if (result.response.status == kOk) return absl::OkStatus();
  if (result.response.status == kNotFound) return absl::NotFoundError("the lease has ended");
  return Unexpected("a lease renewal", result.response);
}

}  // namespace heatherspan
