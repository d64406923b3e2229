#include "steering/steering_view.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "base/stable_hash.h"
#include "document/drain_scope.h"

namespace heatherspan {
namespace {

constexpr Duration kDelayBetweenZones = std::chrono::microseconds(500);
/// Assumed for two regions without a link in the document.
constexpr Duration kDelayBetweenRegions = std::chrono::milliseconds(35);
constexpr Duration kConnectTime = std::chrono::milliseconds(1);
constexpr double kUnknownUtilization = 0.5;
/// The utilization is rounded to quarters, so that small changes do not move callers to other
/// regions.
constexpr double kUtilizationSteps = 4;
/// Scores are rounded to multiples of 1 / kRankSteps. Equal rounded scores are equally good.
constexpr double kRankSteps = 32;

auto IsDrained(const Document& document, DrainScope scope, const std::string& name) -> bool {
  return std::any_of(document.drains.begin(), document.drains.end(), [&](const Drain& drain) {
    return drain.scope == scope && drain.name == name;
  });
}

template <class Item, class Name>
auto IndexByName(const std::vector<Item>& items, const Name& name) -> std::optional<std::size_t> {
  const auto found =
      std::find_if(items.begin(), items.end(), [&](const Item& item) { return item.name == name; });
  if (found == items.end()) return std::nullopt;
  return static_cast<std::size_t>(found - items.begin());
}

}  // namespace

auto SteeringView::Build(std::shared_ptr<const Document> document,
                         std::shared_ptr<const ClientMap> clients, std::vector<LiveNode> nodes)
    -> std::shared_ptr<const SteeringView> {
  auto view = std::shared_ptr<SteeringView>(new SteeringView);
  view->document_ = std::move(document);
  view->clients_ = std::move(clients);
  view->IndexZones();
  view->IndexLinks();
  view->IndexServices();
  view->IndexNodes(std::move(nodes));
  view->RankRegions();
  return view;
}

auto SteeringView::FindService(std::string_view name) const -> const SteeringService* {
  const auto found = std::lower_bound(
      services_.begin(), services_.end(), name,
      [](const SteeringService& a, std::string_view b) { return a.service->name.value() < b; });
  if (found == services_.end() || found->service->name.value() != name) return nullptr;
  return &*found;
}

auto SteeringView::FindZone(const ZoneName& name) const -> std::optional<std::size_t> {
  return IndexByName(zones_, name);
}

auto SteeringView::FindRegion(const RegionName& name) const -> std::optional<std::size_t> {
  return IndexByName(regions_, name);
}

auto SteeringView::FindNode(InstanceId instance) const -> const LiveNode* {
  const auto found =
      std::lower_bound(nodes_.begin(), nodes_.end(), instance,
                       [](const LiveNode& a, InstanceId b) { return a.instance < b; });
  return found == nodes_.end() || found->instance != instance ? nullptr : &*found;
}

auto SteeringView::RegionOf(const ZoneName& zone) const -> const RegionName* {
  const auto index = FindZone(zone);
  return index.has_value() ? &regions_[zones_[*index].region].name : nullptr;
}

auto SteeringView::ClientZone(std::size_t client_zone_index) const -> std::optional<std::size_t> {
  return client_zone_index < client_zones_.size() ? client_zones_[client_zone_index] : std::nullopt;
}

auto SteeringView::OneWayDelay(std::size_t from_zone, std::size_t to_zone) const -> Duration {
  if (from_zone == to_zone) return Duration::zero();
  const auto from = zones_[from_zone].region;
  const auto to = zones_[to_zone].region;
  return from == to ? kDelayBetweenZones : regions_[from].one_way[to];
}

auto SteeringView::IndexZones() -> void {
  for (const auto& region : document_->regions) {
    SteeringRegion table;
    table.name = region.name;
    table.hash = StableHash(region.name.value());
    table.drained = IsDrained(*document_, DrainScope::kRegion, region.name.value());
    for (const auto& zone : region.zones) {
      table.zones.push_back(zones_.size());
      const bool drained =
          table.drained || IsDrained(*document_, DrainScope::kZone, zone.name.value());
      zones_.push_back(
          {zone.name, regions_.size(), StableHash(zone.name.value()), drained, {}, {}});
    }
    regions_.push_back(std::move(table));
  }
  for (const auto& zone : clients_->zones()) client_zones_.push_back(FindZone(zone));
}

auto SteeringView::IndexLinks() -> void {
  for (auto& region : regions_) {
    region.one_way.assign(regions_.size(), kDelayBetweenRegions);
    region.linked.assign(regions_.size(), false);
  }
  longest_one_way_ = kDelayBetweenZones;
  for (std::size_t i = 0; i < regions_.size(); ++i) AddLink(i, i, kDelayBetweenZones);
  for (const auto& link : document_->links) {
    const auto a = FindRegion(link.a);
    const auto b = FindRegion(link.b);
    if (!a.has_value() || !b.has_value()) continue;
    AddLink(*a, *b, link.one_way);
    AddLink(*b, *a, link.one_way);
    longest_one_way_ = std::max(longest_one_way_, link.one_way);
  }
}

auto SteeringView::AddLink(std::size_t from, std::size_t to, Duration one_way) -> void {
  regions_[from].one_way[to] = one_way;
  regions_[from].linked[to] = true;
}

auto SteeringView::IndexServices() -> void {
  for (const auto& service : document_->services) {
    SteeringService table;
    table.service = &service;
    table.targets.resize(zones_.size());
    for (const auto& target : service.targets) {
      const auto zone = FindZone(target.zone);
      if (!zone.has_value()) continue;
      if (IsDrained(*document_, DrainScope::kTarget, target.name.value())) continue;
      table.targets[*zone].push_back(&target);
    }
    services_.push_back(std::move(table));
  }
  std::sort(services_.begin(), services_.end(),
            [](const SteeringService& a, const SteeringService& b) {
              return a.service->name < b.service->name;
            });
}

auto SteeringView::IndexNodes(std::vector<LiveNode> nodes) -> void {
  std::erase_if(nodes, [&](const LiveNode& node) {
    return node.state == MemberState::kDead || !FindZone(node.zone).has_value();
  });
  nodes_ = std::move(nodes);
  std::sort(nodes_.begin(), nodes_.end(),
            [](const LiveNode& a, const LiveNode& b) { return a.instance < b.instance; });
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    auto& node = nodes_[i];
    if (IsDrained(*document_, DrainScope::kEntryVm, node.name.value())) {
      node.state = MemberState::kLeaving;
    }
    if (node.state == MemberState::kLeaving) continue;
    auto& zone = zones_[*FindZone(node.zone)];
    (node.state == MemberState::kAlive ? zone.alive : zone.suspected).push_back(i);
    ++regions_[zone.region].live_nodes;
  }
}

auto SteeringView::RankRegions() -> void {
  for (std::size_t from = 0; from < regions_.size(); ++from) {
    auto& other_regions = regions_[from].other_regions;
    for (std::size_t to = 0; to < regions_.size(); ++to) {
      if (to != from) other_regions.push_back({to, RegionRank(from, to)});
    }
    std::stable_sort(other_regions.begin(), other_regions.end(),
                     [](const auto& a, const auto& b) { return a.rank < b.rank; });
  }
}

auto SteeringView::RegionRank(std::size_t from, std::size_t to) const -> int {
  constexpr int kAfterAllOthers = 1 << 20;
  const auto& objectives = document_->objectives;
  const auto round_trip = 2 * regions_[from].one_way[to] + kConnectTime;
  const auto longest = 2 * std::max(longest_one_way_, kDelayBetweenRegions) + kConnectTime;
  const double latency =
      static_cast<double>(round_trip.count()) / static_cast<double>(longest.count());
  const double score =
      objectives.latency_weight * latency + objectives.headroom_weight * Utilization(to);
  const int rank = static_cast<int>(std::lround(score * kRankSteps));
  return regions_[to].drained ? rank + kAfterAllOthers : rank;
}

auto SteeringView::Utilization(std::size_t region) const -> double {
  double sum = 0;
  int known = 0;
  for (const auto zone : regions_[region].zones) {
    for (const auto node : zones_[zone].alive) {
      if (!nodes_[node].utilization.has_value()) continue;
      sum += *nodes_[node].utilization;
      ++known;
    }
  }
  const double mean = known == 0 ? kUnknownUtilization : sum / known;
  return std::round(mean * kUtilizationSteps) / kUtilizationSteps;
}

}  // namespace heatherspan
