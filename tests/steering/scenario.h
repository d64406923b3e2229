#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "document/document.h"
#include "steering/client_map.h"
#include "steering/live_node.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// Three regions "a", "b" and "c" with two availability zones each ("a1", "a2", ...) and links
/// between all regions. The service "desk" has two targets per zone. Each zone has a client block
/// 10.X.0.0/16.
inline auto TestDocument() -> Document {
  Document document;
  Service desk;
  desk.name = ServiceName("desk");
  int block = 0;
  for (const std::string region : {"a", "b", "c"}) {
    Region item{RegionName(region), RequestsPerSecond(1000), {}};
    for (const auto* number : {"1", "2"}) {
      const ZoneName zone(region + number);
      item.zones.push_back({zone, 4});
      for (const auto* target : {"-t1", "-t2"}) {
        desk.targets.push_back({TargetName(zone.value() + target), zone, {}});
      }
      const auto text = "10." + std::to_string(block++) + ".0.0/16";
      document.clients.push_back({IpBlock::Parse(text).value(), zone, {}});
    }
    document.regions.push_back(std::move(item));
  }
  for (const auto& [a, b] : {std::pair("a", "b"), std::pair("b", "c"), std::pair("a", "c")}) {
    document.links.push_back({RegionName(a), RegionName(b), MegabitsPerSecond(280)});
  }
  document.services.push_back(std::move(desk));
  return document;
}

/// Entry VMs in every zone of the document; "a1-0" is the first node in zone "a1".
inline auto TestNodes(const Document& document, int per_zone) -> std::vector<LiveNode> {
  std::vector<LiveNode> nodes;
  for (const auto& region : document.regions) {
    for (const auto& zone : region.zones) {
      for (int i = 0; i < per_zone; ++i) {
        LiveNode node;
        node.name = NodeName(zone.name.value() + "-" + std::to_string(i));
        node.instance = InstanceId(std::hash<NodeName>{}(node.name));
        node.zone = zone.name;
        nodes.push_back(std::move(node));
      }
    }
  }
  return nodes;
}

inline auto TestView(const Document& document, std::vector<LiveNode> nodes)
    -> std::shared_ptr<const SteeringView> {
  auto clients = std::make_shared<const ClientMap>(ClientMap::Build(document.clients));
  return SteeringView::Build(std::make_shared<const Document>(document), std::move(clients),
                             std::move(nodes));
}

inline auto SetState(std::vector<LiveNode>& nodes, const std::string& name, MemberState state)
    -> void {
  for (auto& node : nodes) {
    if (node.name.value() == name) node.state = state;
  }
}

}  // namespace heatherspan
