#include "fleet_standins/kv_standin.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "base/number_text.h"
#include "base/text_parts.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using Json = nlohmann::json;

/// The lifetime that the entry VMs request.
constexpr Duration kLeaseLifetime = std::chrono::seconds(3);
constexpr Duration kExpiryCheckInterval = std::chrono::milliseconds(100);

auto Parameter(std::string_view query, std::string_view name) -> std::uint64_t {
  for (const auto part : SplitText(query, '&')) {
    const auto [key, value] = CutText(part, '=');
    if (key == name) return ParseNumber<std::uint64_t>(value).value_or(0);
  }
  return 0;
}

auto LastPathNumber(std::string_view path) -> std::uint64_t {
  return ParseNumber<std::uint64_t>(path.substr(path.rfind('/') + 1)).value_or(0);
}

auto ItemJson(const std::string& key, const std::string& value, std::uint64_t revision) -> Json {
  return {{"key", key}, {"value", absl::Base64Escape(value)}, {"revision", revision}};
}

}  // namespace

KvStandin::KvStandin(const Endpoint& listen)
    : server_(workers_, {},
              [this](const HttpRequest& request, const HttpServer::Responder& respond) {
                Handle(request, respond);
              }),
      second_server_(workers_, {},
                     [this](const HttpRequest& request, const HttpServer::Responder& respond) {
                       HandleSecond(request, respond);
                     }) {
  endpoint_ = *server_.Listen(listen);
  second_endpoint_ = *second_server_.Listen({listen.address, 0});
  expiry_timer_ = workers_.RunEvery(kExpiryCheckInterval, [this] { ExpireLeasesAndWatches(); });
}

KvStandin::~KvStandin() { workers_.Stop(); }

auto KvStandin::Put(const std::string& key, const std::string& value) -> void {
  const std::lock_guard lock(mutex_);
  ++revision_;
  items_[key] = {value, revision_, 0};
  history_[revision_] = ItemJson(key, value, revision_).dump();
  Notify();
}

auto KvStandin::Remove(const std::string& key) -> void {
  const std::lock_guard lock(mutex_);
  if (items_.erase(key) == 0) return;
  ++revision_;
  history_[revision_] = Json{{"key", key}, {"revision", revision_}, {"tombstone", true}}.dump();
  Notify();
}

auto KvStandin::Has(const std::string& key) const -> bool {
  const std::lock_guard lock(mutex_);
  return items_.contains(key);
}

auto KvStandin::SetDown(bool down) -> void {
  const std::lock_guard lock(mutex_);
  down_ = down;
  if (!down) {
    for (auto& [lease, deadline] : leases_) deadline = SystemClock().Now() + kLeaseLifetime;
  }
  for (const auto& watch : std::exchange(watches_, {})) watch.respond(Answer(503, "{}"));
}

auto KvStandin::SetSecondSilent(bool silent) -> void {
  const std::lock_guard lock(mutex_);
  second_silent_ = silent;
}

auto KvStandin::HandleSecond(const HttpRequest& request, const HttpServer::Responder& respond)
    -> void {
  const std::lock_guard lock(mutex_);
  if (second_silent_) {
    unanswered_.push_back(respond);
  } else {
    Handle(request, respond);
  }
}

auto KvStandin::Notify() -> void {
  std::vector<Watch> waiting;
  for (auto& watch : std::exchange(watches_, {})) {
    if (watch.after < revision_) {
      watch.respond(Answer(200, EventsAfter(watch.after)));
    } else {
      waiting.push_back(std::move(watch));
    }
  }
  watches_ = std::move(waiting);
}

auto KvStandin::List() const -> std::string {
  auto items = Json::array();
  for (const auto& [key, item] : items_) items.push_back(ItemJson(key, item.value, item.revision));
  return Json{{"items", items}, {"has_more", false}, {"current_rev", revision_}}.dump();
}

auto KvStandin::EventsAfter(std::uint64_t revision) const -> std::string {
  auto events = Json::array();
  for (auto event = history_.upper_bound(revision); event != history_.end(); ++event) {
    events.push_back(Json::parse(event->second));
  }
  return Json{{"events", events}, {"current_rev", revision_}}.dump();
}

auto KvStandin::Write(const std::string& body) -> std::string {
  const auto request = Json::parse(body);
  for (const auto& put : request.at("puts")) {
    std::string value;
    absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    const auto key = put.at("key").get<std::string>();
    Put(key, rewrite_ ? rewrite_(std::move(value)) : value);
    items_[key].lease = put.at("lease").get<std::uint64_t>();
  }
  return Json{{"revision", revision_}}.dump();
}

auto KvStandin::ExpireLeasesAndWatches() -> void {
  const std::lock_guard lock(mutex_);
  // Leases do not expire while the store is down.
  if (down_) return;
  const auto now = SystemClock().Now();
  std::vector<std::uint64_t> expired_leases;
  for (const auto& [lease, deadline] : leases_) {
    if (deadline < now) expired_leases.push_back(lease);
  }
  for (const auto lease : expired_leases) EndLease(lease);
  const auto expired_watches = std::partition(
      watches_.begin(), watches_.end(), [&](const Watch& watch) { return watch.deadline > now; });
  for (auto watch = expired_watches; watch != watches_.end(); ++watch) {
    watch->respond(Answer(200, EventsAfter(watch->after)));
  }
  watches_.erase(expired_watches, watches_.end());
}

auto KvStandin::Answer(int status, std::string body) const -> HttpResponse {
  HttpResponse response;
  response.status = status;
  response.headers = {{"Store-Era", std::to_string(era_)}};
  response.body = std::move(body);
  return response;
}

auto KvStandin::SetRewrite(Rewrite rewrite) -> void {
  const std::lock_guard lock(mutex_);
  rewrite_ = std::move(rewrite);
}

auto KvStandin::Save() -> void {
  const std::lock_guard lock(mutex_);
  saved_items_ = items_;
  saved_revision_ = revision_;
  saved_leases_ = leases_;
}

auto KvStandin::Restore(const std::function<bool(const std::string& key)>& is_repeated) -> void {
  const std::lock_guard lock(mutex_);
  ++era_;
  const auto lost_items = std::exchange(items_, saved_items_);
  revision_ = saved_revision_;
  history_.erase(history_.upper_bound(revision_), history_.end());
  leases_ = saved_leases_;
  for (auto& [lease, deadline] : leases_) deadline = SystemClock().Now() + kLeaseLifetime;
  for (const auto& watch : std::exchange(watches_, {})) watch.respond(Answer(503, "{}"));
  if (is_repeated == nullptr) return;
  for (const auto& [key, item] : saved_items_) {
    if (is_repeated(key) && !lost_items.contains(key)) Remove(key);
  }
  for (const auto& [key, item] : lost_items) {
    const auto known = items_.find(key);
    const bool is_lost = known == items_.end() || known->second.value != item.value;
    if (is_lost && is_repeated(key)) Put(key, item.value);
  }
}

auto KvStandin::DiscardHistory() -> void {
  const std::lock_guard lock(mutex_);
  history_.clear();
  discarded_revision_ = revision_;
}

auto KvStandin::EndLease(std::uint64_t lease) -> void {
  leases_.erase(lease);
  std::vector<std::string> ended;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) ended.push_back(key);
  }
  for (const auto& key : ended) Remove(key);
}

auto KvStandin::Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void {
  const std::lock_guard lock(mutex_);
  if (down_) {
    respond(Answer(503, "{}"));
    return;
  }
  const auto [path, query] = CutText(request.target, '?');
  if (path.ends_with("kv-range")) {
    respond(Answer(200, List()));
  } else if (path.ends_with("kv-watch")) {
    const auto after = Parameter(query, "after");
    if (after < discarded_revision_ || after > revision_) {
      respond(Answer(410, "{}"));
      return;
    }
    const auto wait = std::chrono::milliseconds(Parameter(query, "wait_ms"));
    watches_.push_back({after, SystemClock().Now() + wait, respond});
    Notify();
  } else if (path.ends_with("kv-txn")) {
    respond(Answer(200, Write(request.body.text())));
  } else if (path.ends_with("kv-lease")) {
    leases_[++last_lease_] = SystemClock().Now() + kLeaseLifetime;
    respond(Answer(200, fmt::format(R"({{"lease":{},"ttl_s_time":3}})", last_lease_)));
  } else if (path.find("kv-lease-end") != std::string_view::npos) {
    EndLease(LastPathNumber(path));
    respond(Answer(200, "{}"));
  } else if (const auto lease = leases_.find(LastPathNumber(path)); lease != leases_.end()) {
    lease->second = SystemClock().Now() + kLeaseLifetime;
    respond(Answer(200, R"({"ttl_s_time":3})"));
  } else {
    respond(Answer(404, "{}"));
  }
}

}  // namespace heatherspan
