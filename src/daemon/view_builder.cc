#include "daemon/view_builder.h"

namespace heatherspan {

auto LiveNodes(const std::vector<Member>& members) -> std::vector<LiveNode> {
  std::vector<LiveNode> nodes;
  nodes.reserve(members.size());
  for (const auto& member : members) {
    LiveNode node;
    node.name = member.name;
    node.instance = member.instance;
    node.zone = member.zone;
    node.caller_endpoint = member.caller_endpoint;
    node.peer_endpoint = member.peer_endpoint;
    node.state = member.state;
    if (member.direct_link_cut && node.state == MemberState::kAlive) {
      node.state = MemberState::kSuspected;
    }
    nodes.push_back(std::move(node));
  }
  return nodes;
}

auto ZoneVms(const std::vector<Member>& members, const ZoneName& zone) -> std::vector<RankedVm> {
  std::vector<RankedVm> vms;
  for (const auto& member : members) {
    if (member.zone != zone || member.state == MemberState::kDead) continue;
    vms.push_back({member.started_unix_ms, member.instance});
  }
  return vms;
}

}  // namespace heatherspan
