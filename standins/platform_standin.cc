#include "standins/platform_standin.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/number_text.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using nlohmann::json;

constexpr std::string_view kKeyPrefix = "/v1/kv/";
constexpr std::string_view kLeasePrefix = "/v1/leases/";
constexpr std::string_view kVmControlPrefix = "/control/vms/";
constexpr std::string_view kLeavingSuffix = "/leaving";
constexpr std::string_view kCopyPrefix = "/control/copies/";
constexpr std::string_view kRestorePrefix = "/control/restore/";
constexpr auto kMaxWait = std::chrono::minutes(5);

auto Plain(int status, std::string body = "") -> HttpResponse {
  return {.status = status, .headers = {}, .body = std::move(body)};
}

auto Json(const json& body) -> HttpResponse {
  return {.status = 200, .headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

auto WithRevision(int status, std::uint64_t revision, std::string body = "") -> HttpResponse {
  return {.status = status,
          .headers = {{"Revision", std::to_string(revision)}},
          .body = std::move(body)};
}

auto IsVm(const json& vm) -> bool {
  static constexpr std::array kKeys = {"name", "zone", "role", "state", "address"};
  return vm.is_object() && std::all_of(kKeys.begin(), kKeys.end(), [&vm](const char* key) {
           return vm.contains(key) && vm[key].is_string();
         });
}

}  // namespace

auto PlatformStandin::Handle(const HttpRequest& request, MonotonicTime now, Reply reply) -> CallId {
  store_.ExpireLeases(now);
  const auto id = ++last_call_;
  const auto target = RequestTarget::Parse(request.target);
  if (faults_.refuse) {
    ++counts_.refused;
    Send(id, Plain(503, "the store refuses requests\n"), now, std::move(reply));
    return id;
  }
  const auto key = target.After(kKeyPrefix);
  const auto after = target.QueryNumber<std::uint64_t>("after");
  if (request.method == "GET" && !key.empty() && after.has_value()) {
    ++counts_.waits;
    const auto wait =
        std::chrono::milliseconds(target.QueryNumber<std::uint32_t>("wait_ms").value_or(0));
    const auto end = now + std::min<Duration>(wait, kMaxWait);
    waits_.emplace(id, PendingWait{std::string(key), *after, end, std::move(reply)});
    ReleaseWaits(now);
    return id;
  }
  std::optional<HttpResponse> response;
  if (!key.empty()) {
    response = HandleKey(request, target);
  } else if (target.path.starts_with("/v1/leases")) {
    response = HandleLease(request, target, now);
  } else if (request.method == "GET" && target.path == "/v1/vms") {
    ++counts_.reads;
    response = Json({{"vms", vms_}});
  } else {
    response = Plain(404);
  }
  if (request.method != "GET" && faults_.forget_writes > 0) {
    --faults_.forget_writes;
    ++counts_.forgotten;
    response.reset();
  }
  Send(id, std::move(response), now, std::move(reply));
  ReleaseWaits(now);
  return id;
}

auto PlatformStandin::Abandon(CallId id) -> void {
  waits_.erase(id);
  slow_answers_.erase(id);
}

auto PlatformStandin::HandleKey(const HttpRequest& request, const RequestTarget& target)
    -> HttpResponse {
  const std::string key(target.After(kKeyPrefix));
  if (request.method == "GET") {
    ++counts_.reads;
    return ReadResponse(key);
  }
  ++counts_.writes;
  if (request.method == "PUT") return WriteKey(request, key);
  if (request.method != "DELETE") return Plain(405);
  const auto if_revision = ParseNumber<std::uint64_t>(request.Header("If-Revision"));
  if (!if_revision.has_value()) return Plain(400, "If-Revision is missing or not a number\n");
  const auto change = store_.Remove(key, *if_revision);
  return WithRevision(change.done ? 200 : 412, change.revision);
}

auto PlatformStandin::WriteKey(const HttpRequest& request, const std::string& key) -> HttpResponse {
  const auto if_revision = ParseNumber<std::uint64_t>(request.Header("If-Revision"));
  if (!if_revision.has_value()) return Plain(400, "If-Revision is missing or not a number\n");
  if (request.body.size() > KeyValueStore::kMaxValueBytes) return Plain(413);
  std::optional<StoreLeaseId> lease;
  if (const auto text = request.Header("Lease"); !text.empty()) {
    const auto number = ParseNumber<std::uint64_t>(text);
    if (!number.has_value()) return Plain(400, "Lease is not a number\n");
    lease = StoreLeaseId(*number);
    if (!store_.HasLease(*lease)) return Plain(404, "the lease has ended\n");
  }
  const auto change = store_.Write(key, request.body.text(), *if_revision, lease);
  return WithRevision(change.done ? 200 : 412, change.revision);
}

auto PlatformStandin::HandleLease(const HttpRequest& request, const RequestTarget& target,
                                  MonotonicTime now) -> HttpResponse {
  ++counts_.writes;
  if (request.method == "POST" && target.path == "/v1/leases") {
    const auto lifetime = target.QueryNumber<std::uint32_t>("ttl_ms");
    if (!lifetime.has_value()) return Plain(400, "ttl_ms is missing or not a number\n");
    return Json({{"id", store_.GrantLease(std::chrono::milliseconds(*lifetime), now).value()}});
  }
  const auto id = ParseNumber<std::uint64_t>(target.After(kLeasePrefix));
  if (request.method != "PUT" || !id.has_value()) return Plain(404);
  return Plain(store_.KeepAlive(StoreLeaseId(*id), now) ? 200 : 404);
}

auto PlatformStandin::HandleControl(const HttpRequest& request, MonotonicTime now) -> HttpResponse {
  const auto target = RequestTarget::Parse(request.target);
  if (request.method == "GET" && target.path == "/control/counts") return CountsResponse();
  if (request.method == "PUT" && target.path == "/control/faults") {
    return SetFaults(request.body) ? Plain(200) : Plain(400, "the faults are malformed\n");
  }
  if (target.path.starts_with("/control/vms")) return HandleVms(request, target);
  if (const auto name = target.After(kCopyPrefix); request.method == "POST" && !name.empty()) {
    store_.SaveCopy(std::string(name));
    return Plain(200);
  }
  if (const auto name = target.After(kRestorePrefix); request.method == "POST" && !name.empty()) {
    if (!store_.RestoreCopy(std::string(name))) return Plain(404);
    ReleaseWaits(now);
    return Plain(200);
  }
  return Plain(404);
}

auto PlatformStandin::HandleVms(const HttpRequest& request, const RequestTarget& target)
    -> HttpResponse {
  if (target.path == "/control/vms") {
    if (request.method == "GET") return Json({{"vms", vms_}});
    if (request.method != "PUT") return Plain(405);
    return SetVms(request.body) ? Plain(200) : Plain(400, "the VM list is malformed\n");
  }
  auto name = target.After(kVmControlPrefix);
  if (request.method != "POST" || !name.ends_with(kLeavingSuffix)) return Plain(404);
  name.remove_suffix(kLeavingSuffix.size());
  const auto found =
      std::find_if(vms_.begin(), vms_.end(), [name](const json& vm) { return vm["name"] == name; });
  if (found == vms_.end()) return Plain(404);
  (*found)["state"] = "leaving";
  return Plain(200);
}

auto PlatformStandin::SetVms(std::string_view json_text) -> bool {
  auto list = json::parse(json_text, nullptr, /*allow_exceptions=*/false);
  if (!list.is_object() || !list.contains("vms") || !list["vms"].is_array()) return false;
  if (!std::all_of(list["vms"].begin(), list["vms"].end(), IsVm)) return false;
  vms_ = std::move(list["vms"]);
  return true;
}

auto PlatformStandin::SetFaults(std::string_view json_text) -> bool {
  const auto given = json::parse(json_text, nullptr, /*allow_exceptions=*/false);
  if (!given.is_object()) return false;
  auto faults = faults_;
  for (const auto& [key, value] : given.items()) {
    if (key == "down" && value.is_boolean()) {
      faults.down = value.get<bool>();
    } else if (key == "refuse" && value.is_boolean()) {
      faults.refuse = value.get<bool>();
    } else if (key == "slow_ms" && value.is_number_unsigned()) {
      faults.slow = std::chrono::milliseconds(value.get<std::uint32_t>());
    } else if (key == "forget_writes" && value.is_number_unsigned()) {
      faults.forget_writes = value.get<int>();
    } else {
      return false;
    }
  }
  faults_ = faults;
  return true;
}

auto PlatformStandin::CountsResponse() const -> HttpResponse {
  return Json({{"reads", counts_.reads},
               {"writes", counts_.writes},
               {"waits", counts_.waits},
               {"waiting", waits_.size()},
               {"refused", counts_.refused},
               {"forgotten", counts_.forgotten}});
}

auto PlatformStandin::ReadResponse(std::string_view key) const -> HttpResponse {
  auto stored = store_.Read(key);
  if (!stored.has_value()) return Plain(404);
  return WithRevision(200, stored->revision, std::move(stored->value));
}

auto PlatformStandin::Send(CallId id, std::optional<HttpResponse> response, MonotonicTime now,
                           Reply reply) -> void {
  if (faults_.slow.count() == 0) {
    reply(std::move(response));
    return;
  }
  slow_answers_.emplace(id, SlowAnswer{now + faults_.slow, std::move(response), std::move(reply)});
}

auto PlatformStandin::ReleaseWaits(MonotonicTime now) -> void {
  std::vector<CallId> ended;
  for (const auto& [id, wait] : waits_) {
    if (wait.end <= now || store_.Revision(wait.key) != wait.after) ended.push_back(id);
  }
  for (const auto id : ended) {
    auto wait = std::move(waits_.extract(id).mapped());
    const bool changed = store_.Revision(wait.key) != wait.after;
    Send(id, changed ? ReadResponse(wait.key) : Plain(304), now, std::move(wait.reply));
  }
}

auto PlatformStandin::ReleaseSlowAnswers(MonotonicTime now) -> void {
  std::vector<CallId> due;
  for (const auto& [id, answer] : slow_answers_) {
    if (answer.due <= now) due.push_back(id);
  }
  for (const auto id : due) {
    auto answer = std::move(slow_answers_.extract(id).mapped());
    answer.reply(std::move(answer.response));
  }
}

auto PlatformStandin::OnTick(MonotonicTime now) -> void {
  store_.ExpireLeases(now);
  ReleaseWaits(now);
  ReleaseSlowAnswers(now);
}

}  // namespace heatherspan
