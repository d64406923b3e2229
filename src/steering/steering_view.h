#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "document/document.h"
#include "steering/client_map.h"
#include "steering/live_node.h"
#include "steering/steering_region.h"
#include "steering/steering_service.h"
#include "steering/steering_zone.h"

namespace heatherspan {

/// A document and the live entry VMs, indexed for steering decisions. Immutable and thread-safe;
/// each change builds a new view, which is published as a whole.
class SteeringView {
 public:
  /// The client map must be built from the same document. The views of a document share the map,
  /// since only a new document changes it. The view leaves out dead nodes and nodes in zones that
  /// the document does not define. Nodes that the document drains count as leaving.
  static auto Build(std::shared_ptr<const Document> document,
                    std::shared_ptr<const ClientMap> clients, std::vector<LiveNode> nodes)
      -> std::shared_ptr<const SteeringView>;

  auto document() const -> const Document& { return *document_; }
  auto clients() const -> const ClientMap& { return *clients_; }
  auto nodes() const -> const std::vector<LiveNode>& { return nodes_; }
  auto zones() const -> const std::vector<SteeringZone>& { return zones_; }
  auto regions() const -> const std::vector<SteeringRegion>& { return regions_; }
  auto services() const -> const std::vector<SteeringService>& { return services_; }

  auto FindService(std::string_view name) const -> const SteeringService*;
  auto FindZone(const ZoneName& name) const -> std::optional<std::size_t>;
  auto FindRegion(const RegionName& name) const -> std::optional<std::size_t>;
  auto FindNode(InstanceId instance) const -> const LiveNode*;

  /// The region of a zone; nullptr when the document does not define the zone.
  auto RegionOf(const ZoneName& zone) const -> const RegionName*;

  /// Converts an index in ClientMap::zones() to an index in zones().
  auto ClientZone(std::size_t client_zone_index) const -> std::optional<std::size_t>;

  auto OneWayDelay(std::size_t from_zone, std::size_t to_zone) const -> Duration;

  /// The longest one-way delay between two regions; normalizes the latency in scores.
  auto LongestOneWayDelay() const -> Duration { return longest_one_way_; }

 private:
  SteeringView() = default;

  auto IndexZones() -> void;
  auto IndexLinks() -> void;
  auto AddLink(std::size_t from, std::size_t to, Duration one_way) -> void;
  auto IndexServices() -> void;
  auto IndexNodes(std::vector<LiveNode> nodes) -> void;
  auto RankRegions() -> void;
  auto RegionRank(std::size_t from, std::size_t to) const -> int;
  auto Utilization(std::size_t region) const -> double;

  std::shared_ptr<const Document> document_;
  std::shared_ptr<const ClientMap> clients_;
  std::vector<LiveNode> nodes_;  ///< Sorted by instance.
  std::vector<SteeringZone> zones_;
  std::vector<SteeringRegion> regions_;
  std::vector<SteeringService> services_;  ///< Sorted by name.
  std::vector<std::optional<std::size_t>> client_zones_;
  Duration longest_one_way_{};
};

}  // namespace heatherspan
