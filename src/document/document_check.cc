#include "document/document_check.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>
#include <set>
#include <utility>

#include "fmt/format.h"
#include "toml_table/nearest_word.h"

namespace heatherspan {
namespace {

/// Names in use, each with the path of its first occurrence.
using Names = std::map<std::string, DocumentPath, std::less<>>;

class Checker {
 public:
  explicit Checker(const Document& document) : document_(document) {}

  auto Run() -> std::vector<CheckError> {
    CheckObjectives();
    CheckRegions();
    CheckLinks();
    CheckTeams();
    CheckServices();
    CheckDrains();
    CheckClientZones();
    CheckClientBlocks();
    return std::move(errors_);
  }

 private:
  auto Add(DocumentPath path, std::string message, std::optional<DocumentPath> first = {}) -> void {
    errors_.push_back({path, std::move(message), first});
  }

  /// Skips empty names, which the reader reports as missing.
  auto AddName(Names& names, const std::string& name, DocumentPath path, std::string_view what)
      -> void {
    if (name.empty()) return;
    const auto [it, added] = names.try_emplace(name, path);
    if (added) return;
    Add(path,
        fmt::format("{}: \"{}\" is already the {} of {}", path.key, name, what,
                    WithoutKey(it->second).Text()),
        it->second);
  }

  static auto WithoutKey(DocumentPath path) -> DocumentPath {
    path.key = {};
    return path;
  }

  auto CheckReference(const Names& names, const std::string& name, DocumentPath path,
                      std::string_view kind) -> void {
    if (name.empty() || names.contains(name)) return;
    std::vector<std::string> known;
    for (const auto& [text, path_of_name] : names) known.push_back(text);
    const auto nearest = NearestWord(name, known);
    const auto hint =
        nearest.empty() ? std::string() : fmt::format("; did you mean \"{}\"?", nearest);
    Add(path, fmt::format("{}: found \"{}\", expected the name of a {} of this document{}",
                          path.key, name, kind, hint));
  }

  auto CheckObjectives() -> void {
    const auto& objectives = document_.objectives;
    if (objectives.latency_weight > 0 || objectives.headroom_weight > 0) return;
    Add({.key = "objectives"}, "objectives: both weights are 0, expected one above 0");
  }

  auto CheckRegions() -> void {
    if (document_.regions.empty()) Add({}, "the document has no [[region]], expected at least one");
    for (std::size_t i = 0; i < document_.regions.size(); ++i) {
      const auto& region = document_.regions[i];
      AddName(regions_, region.name.value(), {.section = "region", .index = i, .key = "name"},
              "name");
      if (region.zones.empty()) {
        Add({.section = "region", .index = i},
            fmt::format("region \"{}\" has no [[region.zone]], expected at least one",
                        region.name.value()));
      }
      for (std::size_t j = 0; j < region.zones.size(); ++j) {
        const DocumentPath path{"region", i, "zone", j, "name"};
        AddName(zones_, region.zones[j].name.value(), path, "name");
      }
    }
  }

  auto CheckLinks() -> void {
    std::map<std::pair<RegionName, RegionName>, DocumentPath> pairs;
    for (std::size_t i = 0; i < document_.links.size(); ++i) {
      const auto& link = document_.links[i];
      const DocumentPath path{.section = "link", .index = i, .key = "between"};
      CheckReference(regions_, link.a.value(), path, "region");
      CheckReference(regions_, link.b.value(), path, "region");
      if (link.a == link.b && !link.a.empty()) {
        Add(path, "between: found the same region twice, expected two regions");
      }
      const auto [it, added] = pairs.try_emplace(std::minmax(link.a, link.b), path);
      if (!added) Add(path, "between: these regions already have a link", it->second);
    }
    for (std::size_t i = 0; i < document_.regions.size(); ++i) {
      for (std::size_t j = 0; j < i; ++j) CheckLinkBetween(pairs, j, i);
    }
  }

  auto CheckLinkBetween(const std::map<std::pair<RegionName, RegionName>, DocumentPath>& pairs,
                        std::size_t i, std::size_t j) -> void {
    const auto& a = document_.regions[i].name;
    const auto& b = document_.regions[j].name;
    if (a.empty() || b.empty() || a == b || pairs.contains(std::minmax(a, b))) return;
    Add({.section = "region", .index = j},
        fmt::format("no [[link]] between \"{}\" and \"{}\"", a.value(), b.value()));
  }

  auto CheckTeams() -> void {
    for (std::size_t i = 0; i < document_.teams.size(); ++i) {
      AddName(teams_, document_.teams[i].name.value(),
              {.section = "team", .index = i, .key = "name"}, "name");
    }
  }

  auto CheckServices() -> void {
    if (document_.services.empty()) {
      Add({}, "the document has no [[service]], expected at least one");
    }
    for (std::size_t i = 0; i < document_.services.size(); ++i) CheckService(i);
  }

  auto CheckService(std::size_t index) -> void {
    const auto& service = document_.services[index];
    DocumentPath path{.section = "service", .index = index};
    if (service.targets.empty()) {
      Add(path, fmt::format("service \"{}\" has no [[service.target]], expected at least one",
                            service.name.value()));
    }
    path.key = "name";
    AddName(services_, service.name.value(), path, "name");
    path.key = "team";
    CheckReference(teams_, service.team.value(), path, "team");
    path.key = "expected_time_ms";
    if (service.expected_time >= service.default_deadline) {
      Add(path,
          "expected_time_ms: found a time not below default_deadline_ms; no request could "
          "be admitted");
    }
    path.key = "connections_per_target";
    if (service.connections_per_target < service.slots_per_target) {
      Add(path, fmt::format("connections_per_target: found {}, expected at least slots_per_target, "
                            "which is {}",
                            service.connections_per_target, service.slots_per_target));
    }
    CheckTargets(index);
  }

  auto CheckTargets(std::size_t index) -> void {
    const auto& targets = document_.services[index].targets;
    for (std::size_t j = 0; j < targets.size(); ++j) {
      DocumentPath path{"service", index, "target", j, "name"};
      AddName(targets_, targets[j].name.value(), path, "name");
      path.key = "zone";
      CheckReference(zones_, targets[j].zone.value(), path, "zone");
      path.key = "address";
      const auto& endpoint = targets[j].endpoint;
      if (endpoint != Endpoint()) AddName(addresses_, endpoint.Text(), path, "address");
    }
  }

  auto CheckDrains() -> void {
    std::map<std::pair<DrainScope, std::string>, DocumentPath> seen;
    for (std::size_t i = 0; i < document_.drains.size(); ++i) {
      const auto& drain = document_.drains[i];
      const DocumentPath path{.section = "drain", .index = i, .key = "name"};
      if (drain.scope == DrainScope::kTarget) CheckReference(targets_, drain.name, path, "target");
      if (drain.scope == DrainScope::kZone) CheckReference(zones_, drain.name, path, "zone");
      if (drain.scope == DrainScope::kRegion) CheckReference(regions_, drain.name, path, "region");
      const auto [it, added] = seen.try_emplace({drain.scope, drain.name}, path);
      if (!added && !drain.name.empty()) {
        Add(path, fmt::format("name: \"{}\" is already drained", drain.name), it->second);
      }
    }
  }

  auto CheckClientZones() -> void {
    for (std::size_t i = 0; i < document_.clients.size(); ++i) {
      CheckReference(zones_, document_.clients[i].zone.value(),
                     {.section = "client", .index = i, .key = "zone"}, "zone");
    }
  }

  /// Two blocks overlap exactly if one contains the other. Sorted by address and prefix length, a
  /// block precedes the blocks that it contains, and these precede every block outside it.
  auto CheckClientBlocks() -> void {
    const auto& clients = document_.clients;
    std::vector<std::size_t> order(clients.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&clients](std::size_t a, std::size_t b) {
      return clients[a].block < clients[b].block;
    });
    std::optional<std::size_t> container;
    for (const std::size_t i : order) {
      if (clients[i].block == IpBlock()) continue;  // The reader reports this block as invalid.
      if (container.has_value() && clients[*container].block.Contains(clients[i].block.address())) {
        AddOverlap(*container, i);
      } else {
        container = i;
      }
    }
  }

  auto AddOverlap(std::size_t container, std::size_t inner) -> void {
    const auto& clients = document_.clients;
    const auto path = [](std::size_t index) {
      return DocumentPath{.section = "client", .index = index, .key = "block"};
    };
    const auto text = clients[inner].block.Text();
    if (clients[inner].block == clients[container].block) {
      Add(path(inner), fmt::format("block: {} is listed twice", text), path(container));
      return;
    }
    Add(path(inner), fmt::format("block: {} overlaps {}", text, clients[container].block.Text()),
        path(container));
  }

  const Document& document_;
  std::vector<CheckError> errors_;
  Names regions_;
  Names zones_;
  Names teams_;
  Names services_;
  Names targets_;
  Names addresses_;
};

}  // namespace

auto CheckDocument(const Document& document) -> std::vector<CheckError> {
  return Checker(document).Run();
}

}  // namespace heatherspan
