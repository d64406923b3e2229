#include "steering/answer_lookup.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <random>
#include <string_view>

#include "base/stable_hash.h"

namespace heatherspan {
namespace {

/// The maximum numbers of nodes from the client's zone and from the rest of its region. The
/// remaining entries of an answer are for other regions.
constexpr std::size_t kClientZoneEntries = 3;
constexpr std::size_t kClientRegionEntries = 3;
constexpr std::size_t kMaxRegions = 32;
constexpr double kLifetimeJitter = 0.2;

/// The client's zone and the key that orders the entry VMs for the client.
struct ClientOrigin {
  std::uint64_t block_key = 0;  ///< Hash of the client block.
  std::size_t zone = 0;
};

class AnswerBuilder {
 public:
  AnswerBuilder(const SteeringView& view, std::uint64_t key) : view_(view), key_(key) {}

  auto count() const -> std::size_t { return answer_.count; }
  auto answer() -> LookupAnswer& { return answer_; }

  /// Adds up to `entries` of the nodes that the answer does not list yet, in rendezvous order.
  auto Add(const std::vector<std::size_t>& nodes, std::size_t entries) -> std::size_t {
    std::size_t added = 0;
    while (added < entries && answer_.count < LookupAnswer::kMaxNodes && AddBest(nodes)) ++added;
    return added;
  }

  auto ListsTwoZones() const -> bool {
    const auto nodes = answer_.Nodes();
    return std::any_of(nodes.begin(), nodes.end(),
                       [&](const auto* node) { return node->zone != nodes.front()->zone; });
  }

 private:
  auto IsListed(const LiveNode* node) const -> bool {
    const auto nodes = answer_.Nodes();
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
  }

  auto AddBest(const std::vector<std::size_t>& nodes) -> bool {
    const LiveNode* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto index : nodes) {
      const auto& node = view_.nodes()[index];
      // With equal weights, the combined hash gives the same order as RendezvousScore.
      const auto score = CombineHash(key_, node.instance.value());
      if ((best != nullptr && score <= best_score) || IsListed(&node)) continue;
      best = &node;
      best_score = score;
    }
    if (best == nullptr) return false;
    answer_.nodes[answer_.count++] = best;
    return true;
  }

  const SteeringView& view_;
  std::uint64_t key_;
  LookupAnswer answer_;
};

/// Groups addresses outside all client blocks by /24 (IPv4) or /48 (IPv6).
auto KeyOfUnmappedClient(const IpAddress& address) -> std::uint64_t {
  constexpr std::size_t kV4Bytes = 15;
  constexpr std::size_t kV6Bytes = 6;
  std::array<char, 16> text{};
  const std::size_t size = address.is_v4() ? kV4Bytes : kV6Bytes;
  std::copy_n(address.bytes().begin(), size, text.begin());
  return StableHash(std::string_view(text.data(), size));
}

/// Chooses a zone with entry VMs by rendezvous hashing, for clients without a known zone.
auto FallbackZone(const SteeringView& view, std::uint64_t key) -> std::size_t {
  std::size_t best = 0;
  std::uint64_t best_score = 0;
  for (std::size_t i = 0; i < view.zones().size(); ++i) {
    const auto& zone = view.zones()[i];
    if (zone.alive.empty() || zone.drained) continue;
    const auto score = CombineHash(key, zone.hash);
    if (score < best_score) continue;
    best = i;
    best_score = score;
  }
  return best;
}

auto OriginOf(const SteeringView& view, const IpAddress& client) -> ClientOrigin {
  const auto match = view.clients().Find(client);
  const auto key = match.has_value() ? match->block_hash : KeyOfUnmappedClient(client);
  if (match.has_value()) {
    const auto zone = view.ClientZone(match->client_zone_index);
    if (zone.has_value()) return {key, *zone};
  }
  return {key, FallbackZone(view, key)};
}

/// Whether the zone is drained, but not its whole region. Callers of such a zone prefer the other
/// zones of the region. A drained region keeps its callers: the entry VMs shift its traffic under
/// the shift cap.
auto IsDrainedWithoutRegion(const SteeringView& view, const SteeringZone& zone) -> bool {
  return zone.drained && !view.regions()[zone.region].drained;
}

/// Adds one node per zone and round, so that the first nodes are in different zones.
auto AddRegion(const SteeringView& view, std::size_t region, const ClientOrigin& origin,
               std::size_t entries, std::vector<std::size_t> SteeringZone::*nodes,
               AnswerBuilder& builder) -> void {
  const auto& zones = view.regions()[region].zones;
  for (bool added = true; added && entries > 0;) {
    added = false;
    // The first zone depends on the client, so that the second choices of clients spread over the
    // zones.
    for (std::size_t i = 0; i < zones.size() && entries > 0; ++i) {
      const auto index = zones[(i + origin.block_key) % zones.size()];
      if (index == origin.zone || IsDrainedWithoutRegion(view, view.zones()[index])) continue;
      const auto count = builder.Add(view.zones()[index].*nodes, 1);
      entries -= count;
      added = added || count > 0;
    }
  }
}

/// Fills `order` with the other regions, best first. Regions of equal rank are in rendezvous order.
auto OtherRegions(const SteeringView& view, const ClientOrigin& origin,
                  std::array<RankedRegion, kMaxRegions>& order) -> std::size_t {
  const auto& other_regions = view.regions()[view.zones()[origin.zone].region].other_regions;
  const auto count = std::min(other_regions.size(), kMaxRegions);
  std::copy_n(other_regions.begin(), count, order.begin());
  std::sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
            [&](const RankedRegion& a, const RankedRegion& b) {
              if (a.rank != b.rank) return a.rank < b.rank;
              return CombineHash(origin.block_key, view.regions()[a.region].hash) >
                     CombineHash(origin.block_key, view.regions()[b.region].hash);
            });
  return count;
}

/// Adds one node per region and round.
auto AddOtherRegions(const SteeringView& view, const ClientOrigin& origin,
                     std::vector<std::size_t> SteeringZone::*nodes, AnswerBuilder& builder)
    -> void {
  std::array<RankedRegion, kMaxRegions> order{};
  const auto count = OtherRegions(view, origin, order);
  for (std::size_t before = LookupAnswer::kMaxNodes; builder.count() != before;) {
    before = builder.count();
    for (std::size_t i = 0; i < count; ++i) {
      AddRegion(view, order[i].region, origin, 1, nodes, builder);
    }
  }
}

auto AddNodes(const SteeringView& view, const ClientOrigin& origin,
              std::vector<std::size_t> SteeringZone::*nodes, AnswerBuilder& builder) -> void {
  const auto& zone = view.zones()[origin.zone];
  const bool drained = IsDrainedWithoutRegion(view, zone);
  if (!drained) builder.Add(zone.*nodes, kClientZoneEntries);
  AddRegion(view, zone.region, origin, kClientRegionEntries, nodes, builder);
  if (drained) builder.Add(zone.*nodes, kClientZoneEntries);
  AddOtherRegions(view, origin, nodes, builder);
}

auto Jittered(Duration lifetime, Random& random) -> Duration {
  std::uniform_real_distribution<double> draw(1 - kLifetimeJitter, 1 + kLifetimeJitter);
  return Duration(static_cast<Duration::rep>(static_cast<double>(lifetime.count()) * draw(random)));
}

}  // namespace

auto AnswerLookup(const SteeringView& view, const LookupQuery& query, Random& random)
    -> LookupAnswer {
  LookupAnswer refused;
  if (view.FindService(query.service) == nullptr) {
    refused.reason = Reason::kUnknownService;
    return refused;
  }
  refused.reason = Reason::kNoZone;
  if (view.zones().empty()) return refused;
  const auto origin = OriginOf(view, query.client);
  AnswerBuilder builder(view, origin.block_key);
  AddNodes(view, origin, &SteeringZone::alive, builder);
  // With fewer than two zones listed, a suspected node is better than none.
  if (!builder.ListsTwoZones()) AddNodes(view, origin, &SteeringZone::suspected, builder);
  if (builder.count() == 0) return refused;
  auto& answer = builder.answer();
  answer.lifetime = Jittered(view.document().lookup_lifetime, random);
  return answer;
}

}  // namespace heatherspan
