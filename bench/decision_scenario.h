#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/stable_hash.h"
#include "document/document.h"
#include "fmt/format.h"
#include "steering/client_map.h"
#include "steering/live_node.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// The size of an environment to measure.
struct DecisionScale {
  int nodes = 7;
  int zones = 6;  ///< Or sites: every one may have entry VMs and targets.
  int blocks = 24;
  int services = 4;
  int targets_per_service = 12;
};

/// A document with linked regions of two to thirty zones, and with clients in all zones.
inline auto ScaledDocument(const DecisionScale& scale) -> Document {
  Document document;
  const int regions = scale.zones <= 12 ? 3 : 6;
  std::vector<ZoneName> zones;
  for (int r = 0; r < regions; ++r) {
    document.regions.push_back({RegionName(fmt::format("region-{}", r)), {}, {}});
    for (int a = 0; a < r; ++a) {
      document.links.push_back(
          {document.regions[a].name, document.regions[r].name, MegabitsPerSecond(280)});
    }
  }
  for (int i = 0; i < scale.zones; ++i) {
    zones.emplace_back(fmt::format("zone-{:03}", i));
    document.regions[i % regions].zones.push_back({zones.back(), 40});
  }
  for (int s = 0; s < scale.services; ++s) {
    Service service;
    service.name = ServiceName(fmt::format("service-{}", s));
    for (int t = 0; t < scale.targets_per_service; ++t) {
      service.targets.push_back(
          {TargetName(fmt::format("target-{}-{}", s, t)), zones[t % zones.size()], {}});
    }
    document.services.push_back(std::move(service));
  }
  for (int b = 0; b < scale.blocks; ++b) {
    const auto text = fmt::format("{}.{}.{}.0/24", 10 + b / 65536, b / 256 % 256, b % 256);
    document.clients.push_back({IpBlock::Parse(text).value(), zones[b % zones.size()], {}});
  }
  return document;
}

inline auto ScaledNodes(const Document& document, int count) -> std::vector<LiveNode> {
  std::vector<ZoneName> zones;
  for (const auto& region : document.regions) {
    for (const auto& zone : region.zones) zones.push_back(zone.name);
  }
  std::vector<LiveNode> nodes;
  for (int i = 0; i < count; ++i) {
    LiveNode node;
    node.name = NodeName(fmt::format("node-{}", i));
    node.instance = InstanceId(StableHash(node.name.value()));
    node.zone = zones[i % zones.size()];
    node.utilization = 0.1 * (i % 10);
    nodes.push_back(std::move(node));
  }
  return nodes;
}

inline auto ScaledView(const DecisionScale& scale) -> std::shared_ptr<const SteeringView> {
  auto document = std::make_shared<const Document>(ScaledDocument(scale));
  auto clients = std::make_shared<const ClientMap>(ClientMap::Build(document->clients));
  auto nodes = ScaledNodes(*document, scale.nodes);
  return SteeringView::Build(std::move(document), std::move(clients), std::move(nodes));
}

}  // namespace heatherspan
