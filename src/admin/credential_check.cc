#include "admin/credential_check.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <map>
#include <vector>

#include "document/sha256.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr std::string_view kScheme = "Bearer ";

auto EqualInConstantTime(const std::string& a, const std::string& b) -> bool {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

using ServicesByName = std::map<ServiceName, const Service*>;

auto ServicesOf(const Document& document) -> ServicesByName {
  ServicesByName services;
  for (const auto& service : document.services) services[service.name] = &service;
  return services;
}

auto IsOwn(const ServicesByName& services, const ServiceName& name, const TeamName& team) -> bool {
  const auto found = services.find(name);
  return found != services.end() && found->second->team == team;
}

auto ForeignService(const Document& before, const Document& after, const TeamName& team)
    -> std::optional<std::string> {
  const auto old_services = ServicesOf(before);
  const auto new_services = ServicesOf(after);
  for (const auto& [name, service] : new_services) {
    const auto found = old_services.find(name);
    if (found != old_services.end() && *found->second == *service) continue;
    const bool was_foreign = found != old_services.end() && found->second->team != team;
    if (was_foreign || service->team != team) return fmt::format("service {}", name.value());
  }
  for (const auto& [name, service] : old_services) {
    if (new_services.contains(name) || service->team == team) continue;
    return fmt::format("service {}", name.value());
  }
  return std::nullopt;
}

auto OwnsTarget(const Document& document, const std::string& target, const TeamName& team) -> bool {
  const auto services = ServicesOf(document);
  return std::any_of(services.begin(), services.end(), [&](const auto& entry) {
    if (!IsOwn(services, entry.first, team)) return false;
    const auto& targets = entry.second->targets;
    return std::any_of(targets.begin(), targets.end(),
                       [&](const Target& own) { return own.name.value() == target; });
  });
}

auto ForeignDrain(const Document& before, const Document& after, const TeamName& team)
    -> std::optional<std::string> {
  const auto check = [&](const std::vector<Drain>& drains,
                         const std::vector<Drain>& others) -> std::optional<std::string> {
    for (const auto& drain : drains) {
      if (std::find(others.begin(), others.end(), drain) != others.end()) continue;
      const bool own = drain.scope == DrainScope::kTarget && OwnsTarget(before, drain.name, team);
      if (!own) return fmt::format("the drain of {}", drain.name);
    }
    return std::nullopt;
  };
  auto foreign = check(after.drains, before.drains);
  return foreign.has_value() ? foreign : check(before.drains, after.drains);
}

}  // namespace

auto CheckCredential(std::string_view authorization, const std::string& operator_credential,
                     const Document* document) -> std::optional<AdminCaller> {
  if (!authorization.starts_with(kScheme)) return std::nullopt;
  const auto hash = Sha256Hex(authorization.substr(kScheme.size()));
  // Both sides are hashed, so that the comparison does not tell the length of the credential.
  if (EqualInConstantTime(hash, Sha256Hex(operator_credential))) return AdminCaller{};
  if (document == nullptr) return std::nullopt;
  for (const auto& team : document->teams) {
    if (team.credential_sha256.empty()) continue;
    if (EqualInConstantTime(hash, team.credential_sha256)) return AdminCaller{team.name};
  }
  return std::nullopt;
}

auto ForeignChange(const Document& before, const Document& after, const TeamName& team)
    -> std::optional<std::string> {
  auto rest_before = before;
  auto rest_after = after;
  for (auto* document : {&rest_before, &rest_after}) {
    document->services.clear();
    document->drains.clear();
  }
  if (rest_before != rest_after) return "keys outside its services";
  auto foreign = ForeignService(before, after, team);
  return foreign.has_value() ? foreign : ForeignDrain(before, after, team);
}

}  // namespace heatherspan
