#include "standins/lookup_cache.h"

#include <utility>

#include "nlohmann/json.hpp"

namespace heatherspan {
namespace {

auto ParseAddresses(const nlohmann::json& list) -> std::vector<Endpoint> {
  std::vector<Endpoint> addresses;
  for (const auto& item : list) {
    if (!item.is_object() || !item.contains("address") || !item["address"].is_string()) return {};
    auto endpoint = Endpoint::Parse(item["address"].get<std::string>());
    if (!endpoint.ok()) return {};
    addresses.push_back(*std::move(endpoint));
  }
  return addresses;
}

}  // namespace

auto LookupCache::Store(const std::string& service, std::string_view json_text, MonotonicTime now)
    -> bool {
  const auto json = nlohmann::json::parse(json_text, nullptr, /*allow_exceptions=*/false);
  const bool complete = json.is_object() && json.contains("addresses") &&
                        json["addresses"].is_array() && json.contains("lifetime_ms") &&
                        json["lifetime_ms"].is_number();
  if (!complete) return false;
  Entry entry{.addresses = ParseAddresses(json["addresses"]),
              .stored = now,
              .end = now + std::chrono::milliseconds(json["lifetime_ms"].get<std::int64_t>()),
              .ticket = ""};
  if (entry.addresses.empty()) return false;
  if (json.contains("ticket") && json["ticket"].is_string()) {
    entry.ticket = json["ticket"].get<std::string>();
  }
  entries_.insert_or_assign(service, std::move(entry));
  return true;
}

auto LookupCache::Fresh(const std::string& service, MonotonicTime now) const -> bool {
  const auto found = entries_.find(service);
  return found != entries_.end() && now < found->second.end;
}

auto LookupCache::Address(const std::string& service) const -> std::optional<Endpoint> {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return std::nullopt;
  return found->second.addresses[found->second.next];
}

auto LookupCache::NextAddress(const std::string& service) -> void {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return;
  auto& entry = found->second;
  entry.next = (entry.next + 1) % entry.addresses.size();
}

auto LookupCache::TakeTicket(const std::string& service, MonotonicTime now) -> std::string {
  const auto found = entries_.find(service);
  if (found == entries_.end()) return "";
  auto ticket = std::exchange(found->second.ticket, "");
  return now - found->second.stored <= kTicketUse ? ticket : "";
}

}  // namespace heatherspan
