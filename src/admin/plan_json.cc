#include "admin/plan_json.h"

#include "document/plan_text.h"

namespace heatherspan {
namespace {

using Json = nlohmann::ordered_json;

auto RegionJson(const RegionPlan& region) -> Json {
  return {{"region", region.region.value()},
          {"cap_before_rps", region.cap_before.value()},
          {"cap_after_rps", region.cap_after.value()},
          {"load_rps", region.load.value()},
          {"headroom_rps", region.headroom.value()},
          {"headroom_without_entry_vm_rps", region.headroom_without_entry_vm.value()},
          {"headroom_without_zone_rps", region.headroom_without_zone.value()},
          {"headroom_without_region_rps", region.headroom_without_region.value()}};
}

auto ServiceJson(const ServicePlan& service) -> Json {
  return {{"service", service.service.value()},
          {"region", service.region.value()},
          {"slots_before", service.slots_before},
          {"slots_after", service.slots_after},
          {"load_rps", service.load.value()},
          {"headroom_rps", service.headroom.value()},
          {"headroom_without_zone_rps", service.headroom_without_zone.value()},
          {"headroom_without_region_rps", service.headroom_without_region.value()}};
}

auto LinkJson(const LinkPlan& link) -> Json {
  return {{"lost", link.lost.value()},
          {"from", link.from.value()},
          {"to", link.to.value()},
          {"used_mbit_s", link.used.value()},
          {"usable_mbit_s", link.usable.value()}};
}

}  // namespace

auto PlanJson(const Plan& plan) -> Json {
  Json json = {{"faults", plan.errors}, {"warnings", plan.warnings}, {"notes", plan.notes}};
  json["lines"] = PlanLines(plan);
  json["regions"] = Json::array();
  for (const auto& region : plan.regions) json["regions"].push_back(RegionJson(region));
  json["services"] = Json::array();
  for (const auto& service : plan.services) json["services"].push_back(ServiceJson(service));
  json["links"] = Json::array();
  for (const auto& link : plan.links) json["links"].push_back(LinkJson(link));
  return json;
}

auto ManifestJson(const Manifest& manifest) -> Json {
  return {{"version", manifest.version.value()},
          {"previous", manifest.previous.value()},
          {"author", manifest.author},
          {"reason", manifest.reason},
          {"time_unix_ms", manifest.time_unix_ms},
          {"write_id", manifest.write_id},
          {"chunks", manifest.chunks.size()}};
}

}  // namespace heatherspan
